"""The settings object that an instance is told, turned into the module's own; adapter and sender share it."""

from typing import Any

from message_sender.policy.model import DestinationKind, Effect, MessageClass, Settings

EFFECTS = {"repeatable": Effect.IDEMPOTENT, "by_key": Effect.KEYED, "once": Effect.UNSAFE}


def settings_from(info: dict[str, Any], on_sockets: bool = False) -> Settings:
    """The named values of `info`. A sender on sockets tells the module of each answered notice, and hears of
    the list only by a watch that it keeps itself, also where lists are pushed: to an agent beside it."""
    limits, safety, special = info["limits"], info["safety"], info["specifics"]
    zones = info["zones"]
    classes = tuple(
        MessageClass(
            name=each["name"],
            latency_objective=each["aim"],
            deadline=each["deadline"],
            priority_weight=each["credit"],
            late_priority_weight=each["late_worth"],
            effect=EFFECTS[each["semantics"]],
            idempotency_window=each.get("dedup_window", 0),
            is_window_zonal=each.get("key_scope", "all") != "all",
            is_ordered=each.get("serial_by_key", False),
        )
        for each in info["services"]
    )
    kinds = tuple(
        (name, DestinationKind(batch_size=batch, has_separate_routes=apart))
        for name, batch, apart in zip(
            info["models"], special["batch_by_kind"], special["own_limits"], strict=False
        )
    )
    return Settings(
        classes=classes,
        kinds=kinds,
        slots=special["slots"],
        max_open=limits["max_open"],
        max_attempts=limits["attempts_cap"],
        zone=info["locality"],
        tick=info["tick"],
        fleet_size=info["fleet_size"],
        tenants=tuple((each["name"], each["quota_per_s"]) for each in info["customers"]),
        over_quota_weight=info.get("over_share_worth", 1.0),
        halves_late_weight=special.get("loses_worth") == "halves",
        zone_fees=tuple(zip(zones, special.get("zone_fee") or (), strict=False)),
        must_poll=on_sockets or info["membership_mode"] == "on_request",
        has_local_list=info["membership_mode"] == "pushed",
        poll_interval_limit=safety["ask_within"],
        announces_rates=info["weight_kind"] == "nominal",
        may_cancel=limits["cancelling"],
        max_retry_after=limits["max_retry_after"],
        slow_start=safety["cold"],
        slow_start_from=safety["cold_from"],
        fall_multiple=safety["fall_multiple"],
        conn_idle=limits["conn_idle"],
        connect_timeout=limits.get("connect_timeout", 1_500_000),
        key_pause=safety.get("key_quiet", 0),
        drain_grace=safety["drain_grace"],
        acknowledges_completions=on_sockets,
    )
