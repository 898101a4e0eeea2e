"""Tests, run by python -m greengagefall.tests."""
