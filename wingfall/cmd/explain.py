"""``wingfall explain``: which endpoints a request may use, and why not."""

from __future__ import annotations

from returns.result import Success

from wingfall.cmd.operator import EXIT_DONE, open_platform, refuse, say
from wingfall.config.copy import ConfigCopy
from wingfall.decision.classify import check_class, select_class
from wingfall.objects.eligibility import why_not
from wingfall.objects.selector import parse_labels


def run(
    *,
    class_name: str | None = None,
    labels: str = '',
    model: str | None = None,
    service: str | None = None,
    platform: str | None = None,
) -> int:
    """Show the class of a request and which endpoints it may use.

    :param class_name: the class the caller names, if it does.
    :param labels: labels of request and customer, ``k=v,...``.
    :param model: the model that is asked for.
    :param service: the plain service that is asked for.
    :param platform: base URL of the platform.
    :returns: the exit code: 0 if it may use any.
    """
    parsed = parse_labels(labels)
    if not isinstance(parsed, Success):
        return refuse(parsed.failure())
    listed = open_platform(platform).bind(
        lambda api: api.list_objects().alt(str),
    )
    if not isinstance(listed, Success):
        return refuse(listed.failure())
    copy = ConfigCopy()
    copy.apply_list(listed.unwrap())
    if class_name is None:
        selected = select_class(copy.classes, parsed.unwrap())
    else:
        found = copy.find_class(class_name)
        selected = check_class(found, class_name, parsed.unwrap())
    if not isinstance(selected, Success):
        return refuse(selected.failure().message)
    terms = selected.unwrap()
    say(f'class {terms.name}, tier {terms.tier}')
    usable = 0
    for endpoint in copy.endpoints:
        reason = why_not(
            endpoint,
            request_class=terms,
            model=model,
            service=service,
        )
        usable += not reason
        say(f'{endpoint.name}: {reason or "may be used"}')
    return EXIT_DONE if usable else refuse('no endpoint may be used')
