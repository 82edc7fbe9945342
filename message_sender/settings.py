"""The settings object that an instance is told, turned into the module's own; adapter and sender share it."""

from typing import Any

from message_sender import interface as face

EFFECTS = {"repeatable": face.Effect.SAFE, "by_key": face.Effect.KEYED, "once": face.Effect.UNSAFE}


def settings_from(info: dict[str, Any], on_sockets: bool = False) -> face.Settings:
    """The named values of `info`. A sender on sockets tells the module of each answered notice, and hears of
    the list only by a watch that it keeps itself, also where lists are pushed: to an agent beside it."""
    limits, safety, special = info["limits"], info["safety"], info["specifics"]
    zones = info["zones"]
    classes = tuple(
        face.MessageClass(
            name=each["name"],
            aim=each["aim"],
            deadline=each["deadline"],
            worth=each["credit"],
            late_worth=each["late_worth"],
            effect=EFFECTS[each["semantics"]],
            window=each.get("dedup_window", 0),
            window_by_zone=each.get("key_scope", "all") != "all",
            in_order=each.get("serial_by_key", False),
        )
        for each in info["services"]
    )
    kinds = tuple(
        (name, face.Kind(batch=batch, apart=apart))
        for name, batch, apart in zip(
            info["models"], special["batch_by_kind"], special["own_limits"], strict=False
        )
    )
    return face.Settings(
        classes=classes,
        kinds=kinds,
        slots=special["slots"],
        max_open=limits["max_open"],
        max_attempts=limits["attempts_cap"],
        zone=info["locality"],
        tick=info["tick"],
        fleet_size=info["fleet_size"],
        tenants=tuple((each["name"], each["quota_per_s"]) for each in info["customers"]),
        over_share_worth=info.get("over_share_worth", 1.0),
        halves=special.get("loses_worth") == "halves",
        zone_fees=tuple(zip(zones, special.get("zone_fee") or (), strict=False)),
        must_ask=on_sockets or info["membership_mode"] == "on_request",
        list_at_hand=info["membership_mode"] == "pushed",
        ask_within=safety["ask_within"],
        rates_told=info["weight_kind"] == "nominal",
        may_cancel=limits["cancelling"],
        max_retry_after=limits["max_retry_after"],
        cold=safety["cold"],
        cold_from=safety["cold_from"],
        fall_multiple=safety["fall_multiple"],
        conn_idle=limits["conn_idle"],
        connect_timeout=limits.get("connect_timeout", 1_500_000),
        key_quiet=safety.get("key_quiet", 0),
        drain_grace=safety["drain_grace"],
        ends_answered=on_sockets,
    )
