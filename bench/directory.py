"""Memory use and latency of the directory of cached and stored prompts.

``python -m bench.directory`` prints a table, or JSON with ``--json``.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
import gc
import json
from random import Random
import time
import tracemalloc
from typing import Final

import click

from gypsumsail.context.blocks import block_hashes
from gypsumsail.context.chain import directory_keys, make_chain
from gypsumsail.context.const import BLOCK_BYTES
from gypsumsail.context.directory import Directory
from gypsumsail.context.generation import new_generation
from gypsumsail.context.models import (
    EngineHint,
    LookUp,
    PromptUpdate,
    StoredPrefix,
    StoredRun,
)
from gypsumsail.peers.codec import dump, pack_message

TARGET_PROMPTS: Final = 1_700_000
TARGET_ENTRIES: Final = 340
TARGET_ZONES: Final = 5
SALT: Final = "bench"


@dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """Measurements for one prompt length.

    Attributes
    ----------
    prompts
        Number of prompts in the directory.
    blocks
        Number of blocks of each prompt.
    prompt_bytes
        Memory of the directory per prompt.
    entry_megabytes
        Estimated memory of one entry at the target size, from ``prompt_bytes``.
    """

    prompts: int
    blocks: int
    prompt_bytes: float
    publish_microseconds: float
    lookup_microseconds: float
    hash_microseconds: float
    lookup_message_bytes: int
    entry_megabytes: float


def make_hash_chains(count: int, blocks: int, seed: int) -> list[tuple[str, ...]]:
    """Return random hash chains without common prefixes."""
    rng = Random(seed)
    return [tuple(rng.randbytes(16).hex() for _ in range(blocks)) for _ in range(count)]


def make_update(hashes: tuple[str, ...]) -> PromptUpdate:
    """Return the update of a prompt that is completely cached and stored."""
    key = directory_keys(hashes)[0]
    run = StoredRun(end=len(hashes), generation=str(new_generation(0, key)))
    return PromptUpdate(
        key=key,
        chain=make_chain(hashes),
        age=0.0,
        engine=EngineHint(target="engine-1", depth=len(hashes), age=0.0),
        stored=StoredPrefix(
            store_url="http://127.0.0.1:9000", tier="memory", runs=(run,)
        ),
    )


def microseconds_per_step(started: float, count: int) -> float:
    """Return the average microseconds per step since ``started``."""
    return (time.perf_counter() - started) / count * 1e6


def measure(count: int, blocks: int, seed: int) -> Figures:
    """Fill a directory, update and look up all prompts, and measure each phase."""
    prompts = make_hash_chains(count, blocks, seed)
    gc.collect()
    tracemalloc.start()
    directory = Directory(max_records=count)
    for hashes in prompts:
        directory.publish(make_update(hashes), now=0.0)
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    updates = [make_update(hashes) for hashes in prompts]
    started = time.perf_counter()
    for update in updates:
        directory.publish(update, now=1.0)
    publish = microseconds_per_step(started, count)
    started = time.perf_counter()
    for hashes in prompts:
        directory.look_up(directory_keys(hashes)[0], make_chain(hashes), now=2.0)
    lookup = microseconds_per_step(started, count)
    text = "x" * (blocks * BLOCK_BYTES)
    started = time.perf_counter()
    for _ in range(50):
        block_hashes(text, SALT)
    message = LookUp(key=directory_keys(prompts[0])[0], chain=make_chain(prompts[0]))
    # Each zone has its own owner of a prompt's record.
    prompts_per_entry = TARGET_PROMPTS * TARGET_ZONES / TARGET_ENTRIES
    return Figures(
        prompts=count,
        blocks=blocks,
        prompt_bytes=round(size / count, 1),
        publish_microseconds=round(publish, 1),
        lookup_microseconds=round(lookup, 1),
        hash_microseconds=round(microseconds_per_step(started, 50), 1),
        lookup_message_bytes=len(dump(pack_message(message))),
        entry_megabytes=round(size / count * prompts_per_entry / 1e6, 1),
    )


@click.command()
@click.option("--prompts", default=5000, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def main(prompts: int, seed: int, as_json: bool) -> None:
    """Measure the directory with several prompt lengths."""
    rows = [measure(prompts, blocks, seed) for blocks in (8, 32, 100, 400)]
    if as_json:
        print(json.dumps([asdict(row) for row in rows]))
        return
    print("blocks  B/prompt  publish us  lookup us  hash us  message B  MB/entry")
    for row in rows:
        print(
            f"{row.blocks:6} {row.prompt_bytes:9} {row.publish_microseconds:11} "
            f"{row.lookup_microseconds:10} {row.hash_microseconds:8} "
            f"{row.lookup_message_bytes:10} {row.entry_megabytes:9}"
        )


if __name__ == "__main__":
    main()
