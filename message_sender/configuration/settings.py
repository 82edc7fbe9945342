"""Decodes the settings object that the platform passes to an instance into the policy's settings.

The library's adapter and the platform's sender both use it. The object's keys are part of the platform's
protocol.
"""

from typing import Any

from message_sender.policy.model import DestinationKind, Effect, MessageClass, Settings

EFFECTS = {"repeatable": Effect.IDEMPOTENT, "by_key": Effect.KEYED, "once": Effect.UNSAFE}
DEFAULT_CONNECT_TIMEOUT_US = 1_500_000
DEFAULT_OVERLOAD_WINDOW_US = 1_500_000


def decode_class(values: dict[str, Any]) -> MessageClass:
    """Decodes one entry of `services`, a class of messages."""
    return MessageClass(
        name=values["name"],
        latency_objective=values["aim"],
        deadline=values["deadline"],
        priority_weight=values["credit"],
        late_priority_weight=values["late_worth"],
        effect=EFFECTS[values["semantics"]],
        idempotency_window=values.get("dedup_window", 0),
        is_window_zonal=values.get("key_scope", "all") != "all",
        is_ordered=values.get("serial_by_key", False),
    )


def decode_kinds(models: list[str], specifics: dict[str, Any]) -> tuple[tuple[str, DestinationKind], ...]:
    """Returns each kind of destination with its name."""
    by_model = zip(models, specifics["batch_by_kind"], specifics["own_limits"], strict=False)
    return tuple((name, DestinationKind(batch, apart)) for name, batch, apart in by_model)


def decode_settings(values: dict[str, Any], on_sockets: bool = False) -> Settings:
    """Returns the policy's settings.

    Args:
        values: The settings object.
        on_sockets: Whether the sender does its own I/O. The policy then gets each acknowledged completion,
            and receives endpoint lists only through the sender's own watch, even where the platform pushes
            lists, because these are pushed to an agent on the same machine.

    Raises:
        KeyError, TypeError, ValueError: A value is missing or invalid.
    """
    limits, safety, specifics = values["limits"], values["safety"], values["specifics"]
    zones = values["zones"]
    return Settings(
        classes=tuple(map(decode_class, values["services"])),
        kinds=decode_kinds(values["models"], specifics),
        slots=specifics["slots"],
        max_open=limits["max_open"],
        max_attempts=limits["attempts_cap"],
        zone=values["locality"],
        tick=values["tick"],
        fleet_size=values["fleet_size"],
        tenants=tuple((customer["name"], customer["quota_per_s"]) for customer in values["customers"]),
        over_quota_weight=values.get("over_share_worth", 1.0),
        halves_late_weight=specifics.get("loses_worth") == "halves",
        zone_fees=tuple(zip(zones, specifics.get("zone_fee") or (), strict=False)),
        must_poll=on_sockets or values["membership_mode"] == "on_request",
        has_local_list=values["membership_mode"] == "pushed",
        poll_interval_limit=safety["ask_within"],
        announces_rates=values["weight_kind"] == "nominal",
        may_cancel=limits["cancelling"],
        max_retry_after=limits["max_retry_after"],
        slow_start=safety["cold"],
        slow_start_from=safety["cold_from"],
        fall_multiple=safety["fall_multiple"],
        overload_window=safety.get("overload_for", DEFAULT_OVERLOAD_WINDOW_US),
        conn_idle=limits["conn_idle"],
        connect_timeout=limits.get("connect_timeout", DEFAULT_CONNECT_TIMEOUT_US),
        key_pause=safety.get("key_quiet", 0),
        drain_grace=safety["drain_grace"],
        acknowledges_completions=on_sockets,
    )
