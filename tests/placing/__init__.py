"""Tests of the division of engines by kinds of prompts."""
