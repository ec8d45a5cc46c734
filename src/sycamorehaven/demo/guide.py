"""Shell commands to try while the demo is running."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.demo.plan import derive_key

if TYPE_CHECKING:
    from sycamorehaven.demo.plan import DemoPlan

GUIDE_TEMPLATE = """\
Ask the assistant a question:
  curl -sN {first}/v1/services/assistant/v1/completions \\
    -H 'Authorization: Bearer {oakcourt}' \\
    -d '{{"prompt": "Is washer 3 free?", "max_tokens": 8}}'

Create a token, book with it, and repeat the booking at another router:
  TOKEN=$(curl -s -X POST {first}/v1/idempotency-tokens \\
    -H 'Authorization: Bearer {elmplace}' \\
    | python3 -c 'import json, sys; print(json.load(sys.stdin)["idempotency_token"])')
  curl -s {first}/v1/services/bookings/bookings \\
    -H 'Authorization: Bearer {elmplace}' \\
    -H "Idempotency-Token: $TOKEN" -d '{{"machine": "washer 3"}}'; echo
  curl -s {second}/v1/services/bookings/bookings \\
    -H 'Authorization: Bearer {elmplace}' \\
    -H "Idempotency-Token: $TOKEN" -d '{{"machine": "washer 3"}}'; echo

Show which bookings the stand-in booking service ran:
  curl -s http://{booking}/control/runs; echo

Inspect a router, and generate load:
  .venv/bin/sycamorehaven status --admin {admin}
  .venv/bin/sycamorehaven workspaces --admin {admin}
  .venv/bin/sycamorehaven traces --admin {admin} --limit 20
  curl -s http://{admin}/metrics | grep ^sycamorehaven_
  SYCAMOREHAVEN_KEY={oakcourt} .venv/bin/sycamorehaven load --target {first}
"""
"""Template of the shell commands; its fields are addresses and keys."""


def render_guide(plan: DemoPlan) -> str:
    """Return the shell commands for a running demo."""
    return GUIDE_TEMPLATE.format(
        first=f"http://{plan.routers[0].callers_address}",
        second=f"http://{plan.routers[1].callers_address}",
        admin=plan.routers[0].admin_address,
        booking=plan.server_addresses["booking-1"],
        oakcourt=derive_key("oakcourt"),
        elmplace=derive_key("elmplace"),
    )
