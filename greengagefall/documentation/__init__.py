"""Writes the reference tables of the documents out of the code."""
