"""Tests of second sends."""
