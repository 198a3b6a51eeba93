"""Test that an entry of the built program serves a request."""

from __future__ import annotations

from asyncio import create_subprocess_exec
from asyncio.subprocess import DEVNULL, PIPE
from dataclasses import replace
import os
from pathlib import Path
import sys

import httpx

from bench.deployment import (
    Deployment,
    entry_vms,
    target_vms,
)
from bench.layouts import MODEL_PATH
from bench.processes import ROOT, Launcher
from gypsumsail.context.blocks import cache_salt
from gypsumsail.routing.const import DEFAULT_POLICY
from stand_ins.expected import expected_answer
from tests.process.common import SMALL_LAYOUT, authorization

ONE_ENTRY = replace(SMALL_LAYOUT, entry_zones=SMALL_LAYOUT.entry_zones[:1])
PROMPT = "does this panel set meet the standard?"
MAX_TOKENS = 8
INTERPRETER = (os.path.realpath(sys.executable), "-I", "-S")


async def test_built_program_serves_a_request(
    launcher: Launcher, client: httpx.AsyncClient, tmp_path: Path
) -> None:
    file = tmp_path / "gypsumsail"
    build = await create_subprocess_exec(
        ROOT / "script" / "build", file, stdout=DEVNULL
    )
    assert await build.wait() == 0
    platform = await launcher.start_module("platform", "stand_ins.platform")
    deployment = Deployment(
        layout=ONE_ENTRY,
        launcher=launcher,
        client=client,
        policy=DEFAULT_POLICY,
        platform=platform,
    )
    await deployment.async_start_all(target_vms(ONE_ENTRY, platform.url))
    entry = entry_vms(ONE_ENTRY, DEFAULT_POLICY)[0]
    process = await create_subprocess_exec(
        *INTERPRETER,
        file,
        *entry.arguments,
        env={
            "PATH": os.environ["PATH"],
            "SHIV_ROOT": str(tmp_path / "unpacked"),
            "GYPSUMSAIL_DRAIN_SECONDS": "0",
            **deployment.environment,
        },
        stdout=PIPE,
    )
    try:
        assert process.stdout is not None
        # ``listening PORT peers PEER_PORT``
        _, port, _, peer_port = (await process.stdout.readline()).decode().split()
        entry.url = f"http://127.0.0.1:{port}"
        entry.peer_url = f"ws://127.0.0.1:{peer_port}"
        deployment.vms[entry.vm_id] = entry
        records = [vm.record() for vm in deployment.vms.values()]
        await client.put(f"{platform.url}/control/vms", json={"vms": records})
        await deployment.async_apply_documents(tmp_path)
        await deployment.async_wait_serving()
        response = await client.post(
            entry.url + MODEL_PATH,
            json={"model": "claims", "prompt": PROMPT, "max_tokens": MAX_TOKENS},
            headers=authorization(),
        )
    finally:
        process.terminate()
        exit_code = await process.wait()

    salt = cache_salt(
        service="claims",
        customer=SMALL_LAYOUT.customers[0].name,
        model="claims",
        adapter="",
        weight_version="v1",
    )
    expected_tokens = expected_answer(
        prompt=PROMPT,
        max_tokens=MAX_TOKENS,
        model="claims",
        adapter="",
        weight_version="v1",
        cache_salt=salt,
    )
    assert response.json()["choices"][0]["text"] == "".join(expected_tokens)
    assert exit_code == 0
