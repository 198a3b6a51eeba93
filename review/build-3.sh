#!/bin/sh
# Compiles the stand-ins that the cases of the third review start.
set -e
cd "$(dirname "$0")/.."
python3 -m py_compile stand_ins/raw_http.py stand_ins/v1_object_store.py \
    stand_ins/v1_platform.py stand_ins/v1_cold.py stand_ins/v1_context_store.py \
    stand_ins/v1_part_cache.py review/harness_3.py
