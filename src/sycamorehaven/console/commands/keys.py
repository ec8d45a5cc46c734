"""``sycamorehaven keys``: makes keys for workspaces, operators and peers."""

from __future__ import annotations

import hashlib
import secrets

import typer
import zmq

from sycamorehaven.console.options import JsonOption
from sycamorehaven.console.output import print_json

BEARER_KEY_BYTES = 32
"""Random bytes of a bearer key."""

keys_commands = typer.Typer(no_args_is_help=True, help="Keys; nothing is stored.")


@keys_commands.callback()
def group_keys_commands() -> None:
    """Make keys; they are printed and stored nowhere."""


@keys_commands.command("bearer")
def generate_bearer_key(json: JsonOption = False) -> None:
    """Make a key for a workspace or for operators, with its SHA-256."""
    key = secrets.token_urlsafe(BEARER_KEY_BYTES)
    digest = hashlib.sha256(key.encode()).hexdigest()
    if json:
        print_json({"key": key, "key_sha256": digest})
        return
    typer.echo(f"key:        {key}")
    typer.echo(f'key_sha256 = "{digest}"')


@keys_commands.command("peers")
def generate_peer_keys(json: JsonOption = False) -> None:
    """Make the fleet's CURVE pair for the [peers] table of every router."""
    public, secret = (key.decode() for key in zmq.curve_keypair())
    if json:
        print_json({"public_key": public, "secret_key": secret})
        return
    typer.echo(f"public_key = '{public}'")
    typer.echo(f"secret_key = '{secret}'")
