"""Keeps track of cold servers and limits what is sent to them."""
