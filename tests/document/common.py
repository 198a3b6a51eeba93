"""Texts of service documents for tests.

FAULTY_TEXT contains ten faults; test_parser.py lists their positions.
"""

from __future__ import annotations

DIGEST_A = "a" * 64
DIGEST_B = "b" * 64

MODEL_TEXT = f"""\
service: claims
kind: model
owner: claims-team
models:
  - name: claims
    weight_version: v3
    adapters:
      - name: brittany
        version: "2"
customers:
  - name: armor
    key_digests: [{DIGEST_A}]
    share: 4
    tokens_per_second: 20000
    max_priority: 2
  - name: ouest
    key_digests: [{DIGEST_B}]
    share: 0.5
routes:
  - path: /v1/completions
    repeatable: true
deadlines:
  default: 60
  longest: 600
tiers:
  weights: {{first_token: 0.5, recomputed: 0.35, link_use: 0.15}}
  link_bytes_per_second: 5.0e+7
"""

FAULTY_TEXT = """\
service: claims
kind: model
owner: claims-team
color: blue
models:
  - name: claims
customers:
  - name: armor
    key_digests: [not-a-digest]
    share: -1
  - name: armor
    key_digests: []
    share: 2
routes:
  - path: certificates
    repeatable: maybe
deadlines:
  default: 700
  longest: 600
tiers:
  weights: {first_token: 0.5, recomputed: 0.5, link_use: 0.5}
  link_bytes_per_second: 1
"""
