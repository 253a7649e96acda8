"""Tests of laburnumscale."""
