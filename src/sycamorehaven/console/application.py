"""``sycamorehaven``: the command-line tool for operators."""

from __future__ import annotations

import typer

from sycamorehaven.console.commands.configuration import configuration_commands
from sycamorehaven.console.commands.demo import run_demo
from sycamorehaven.console.commands.explain import explain_request
from sycamorehaven.console.commands.keys import keys_commands
from sycamorehaven.console.commands.load import drive_load
from sycamorehaven.console.commands.members import show_members
from sycamorehaven.console.commands.queues import show_queues
from sycamorehaven.console.commands.replay import replay_overload
from sycamorehaven.console.commands.settings import settings_commands
from sycamorehaven.console.commands.status import show_status
from sycamorehaven.console.commands.traces import show_traces
from sycamorehaven.console.commands.workspaces import show_workspaces

application = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_show_locals=False,
    help="Inspect a fleet, validate its configuration, create keys, generate load.",
)
application.add_typer(settings_commands, name="settings")
application.add_typer(configuration_commands, name="configuration")
application.add_typer(keys_commands, name="keys")
application.command("status")(show_status)
application.command("members")(show_members)
application.command("queues")(show_queues)
application.command("workspaces")(show_workspaces)
application.command("traces")(show_traces)
application.command("explain")(explain_request)
application.command("load")(drive_load)
application.command("replay")(replay_overload)
application.command("demo")(run_demo)


def main() -> None:
    """Run the command-line tool."""
    application()


if __name__ == "__main__":
    main()
