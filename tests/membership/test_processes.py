"""Tests of membership between processes that are frozen and killed."""

from __future__ import annotations

from bench.processes import Launcher, RunningProcess
from tests.peers.common import async_until

MODULE = "tests.membership.entry_process"


def _count(process: RunningProcess, text: str) -> int:
    return sum(line.startswith(text) for line in process.output)


async def test_frozen_entry_is_lost_and_rejoins_without_false_suspicions() -> None:
    async with Launcher() as launcher:
        seeds: list[str] = []
        processes: list[RunningProcess] = []
        for index in range(4):
            arguments = [f"e{index}", f"z{index % 2}", *seeds]
            process = await launcher.start_module(f"e{index}", MODULE, arguments)
            processes.append(process)
            seeds.append(process.ready_line)
        await async_until(
            lambda: all(_count(one, "peer.joined") == 3 for one in processes)
        )
        frozen, *others = processes
        frozen.freeze()
        await async_until(
            lambda: all(_count(one, "peer.lost e0") == 1 for one in others)
        )
        frozen.thaw()
        await async_until(
            lambda: all(_count(one, "peer.joined e0") == 2 for one in others)
        )
        await others[0].kill()
        rest = [frozen, *others[1:]]
        await async_until(lambda: all(_count(one, "peer.lost e1") == 1 for one in rest))
        assert _count(frozen, "peer.lost") == 1
        assert all(_count(one, "peer.lost e0") <= 1 for one in rest)
