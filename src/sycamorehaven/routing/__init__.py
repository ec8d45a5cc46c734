"""Data model of the published routes and of the requests on them."""
