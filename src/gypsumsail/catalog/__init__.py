"""What the platform's store says of documents, targets and weights, on this VM."""

from __future__ import annotations
