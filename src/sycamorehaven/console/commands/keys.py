"""``sycamorehaven keys``: generates bearer keys and CURVE key pairs."""

from __future__ import annotations

import hashlib
import secrets

import typer
import zmq

from sycamorehaven.console.options import JsonOption
from sycamorehaven.console.output import print_json

BEARER_KEY_BYTES = 32
"""Number of random bytes in a bearer key."""

keys_commands = typer.Typer(
    no_args_is_help=True, help="Generate keys; they are printed, not stored."
)


@keys_commands.callback()
def group_keys_commands() -> None:
    """Generate keys; they are printed, not stored."""


@keys_commands.command("bearer")
def generate_bearer_key(json: JsonOption = False) -> None:
    """Generate a key for a workspace or an operator, and its SHA-256 hash."""
    key = secrets.token_urlsafe(BEARER_KEY_BYTES)
    digest = hashlib.sha256(key.encode()).hexdigest()
    if json:
        print_json({"key": key, "key_sha256": digest})
        return
    typer.echo(f"key:        {key}")
    typer.echo(f'key_sha256 = "{digest}"')


@keys_commands.command("peers")
def generate_peer_keys(json: JsonOption = False) -> None:
    """Generate the CURVE key pair of a fleet for the [peers] tables."""
    public_key, secret_key = (key.decode() for key in zmq.curve_keypair())
    if json:
        print_json({"public_key": public_key, "secret_key": secret_key})
        return
    typer.echo(f"public_key = '{public_key}'")
    typer.echo(f"secret_key = '{secret_key}'")
