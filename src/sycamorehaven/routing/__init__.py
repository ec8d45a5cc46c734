"""What operators publish by route, and the requests that follow it."""
