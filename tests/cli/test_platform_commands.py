"""Tests of the commands that show state, with a simulated platform."""

from __future__ import annotations

from asyncio import to_thread
import json

import httpx

from bench.processes import Launcher
from gypsumsail.cli.const import ExitCode
from gypsumsail.timeline.segments import bucket_prefix, encode_page, encode_segments
from tests.cli.common import closed_url, invoke, invoke_json, serve
from tests.document.common import MODEL_TEXT
from tests.entry.common import FakeStatusSource


def vm_record(name: str, url: str, role: str = "entry") -> dict[str, str]:
    return {
        "vm_id": name,
        "incarnation": "1",
        "zone": "brest-hall",
        "role": role,
        "service": "",
        "state": "live",
        "url": url,
    }


async def test_entries_come_from_platform_and_unreachable_ones_are_reported(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    platform = await launcher.start_module("platform", "stand_ins.platform")
    flags = ["--platform-url", platform.url]
    with serve(FakeStatusSource("entry-1")) as url:
        vms = [
            vm_record("entry-1", url),
            vm_record("entry-2", closed_url()),
            vm_record("engine-1", closed_url(), "engine"),
        ]
        await client.put(f"{platform.url}/control/vms", json={"vms": vms})
        code, result = await to_thread(invoke_json, "document", "in-force", *flags)
        assert code == ExitCode.UNREACHABLE
        assert [item["entry"] for item in result["entries"]] == ["entry-1"]
        assert set(result["unreachable"]) == {"entry-2"}

        vms = [
            vm_record("entry-1", url),
            vm_record("entry-1", closed_url()),
            vm_record("entry-3", url),
        ]
        await client.put(f"{platform.url}/control/vms", json={"vms": vms})
        for command in (["document", "in-force"], ["status"], ["timeline"]):
            code, result = await to_thread(invoke_json, *command, *flags)
            assert code == ExitCode.UNREACHABLE
            assert set(result["unreachable"]) == {"entry-1/1", "entry-3"}
            assert result["unreachable"]["entry-3"].endswith("answers as entry-1")

        await platform.kill()
        code, result = await to_thread(
            invoke_json, "document", "in-force", *flags, "--entry", url
        )
        assert code == ExitCode.UNREACHABLE
        assert [item["entry"] for item in result["entries"]] == ["entry-1"]
        assert set(result["unreachable"]) == {"platform"}


async def test_show_prints_text_and_version(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    platform = await launcher.start_module("platform", "stand_ins.platform")
    flags = ["--platform-url", platform.url]
    value = json.dumps({"base": 6, "text": MODEL_TEXT})
    for service, content in (("claims", value), ("portal", "no document")):
        url = f"{platform.url}/objects/documents/{service}"
        await client.put(url, content=content, headers={"If-Version": "0"})

    shown = await to_thread(invoke, "document", "show", "claims", *flags)
    assert (shown.exit_code, shown.stdout) == (ExitCode.OK, MODEL_TEXT)
    assert shown.stderr == "version 7\n"
    for service in ("portal", "letters"):
        other = await to_thread(invoke, "document", "show", service, *flags)
        assert other.exit_code == ExitCode.FINDINGS

    await platform.kill()
    unreachable = await to_thread(invoke, "document", "show", "claims", *flags)
    assert unreachable.exit_code == ExitCode.UNREACHABLE


async def test_timeline_includes_archived_events_of_lost_vm(
    launcher: Launcher, client: httpx.AsyncClient
) -> None:
    platform = await launcher.start_module("platform", "stand_ins.platform")
    flags = ["--platform-url", platform.url, "--archive-end", "1970-01-01T00:30:00"]
    recorder = FakeStatusSource("entry-7").recorder
    page = recorder.archive_queue.next_page()
    assert page is not None
    # Bucket 20 is the minute that starts at 00:20, ten minutes before the archive end.
    url = f"{platform.url}/objects/{bucket_prefix(20)}brest-hall/entry-7-life-1"
    [segment] = encode_segments([encode_page(page)])
    await client.put(url, content=segment, headers={"If-Version": "0"})

    for minutes, expected in (("20", ["entry-7"]), ("5", [])):
        code, result = await to_thread(
            invoke_json,
            "timeline",
            *flags,
            "--archive-minutes",
            minutes,
            "--request",
            "r2",
        )
        assert code == ExitCode.OK
        assert [line["process"] for line in result["events"]] == expected
