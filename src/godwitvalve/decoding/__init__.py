"""Decoding of content that other processes wrote."""
