"""Prompt parts that many prompts share."""

from __future__ import annotations

from wingfall.gateway.rules.crashes.common_parts import CommonParts

SYSTEM = b'a system'
RARE = b'the part'


def test_part_of_a_third_of_the_prompts_is_common():
    common = CommonParts()
    for number in range(15):
        common.note_prompt([SYSTEM])
        assert not common.is_common(SYSTEM)
    for number in range(30):
        common.note_prompt([b'%08d' % number])
    assert common.is_common(SYSTEM)
    common.note_prompt([RARE])
    assert not common.is_common(SYSTEM)


def test_only_the_last_prompts_count():
    common = CommonParts()
    for _prompt in range(200):
        common.note_prompt([SYSTEM])
    for number in range(128):
        common.note_prompt([b'%08d' % number])
    assert not common.is_common(SYSTEM)
    assert len(common._counts) == 128


def test_prompts_of_many_parts_are_bounded():
    common = CommonParts()
    for number in range(200):
        first = number * 1000
        common.note_prompt(
            [b'%08d' % each for each in range(first, first + 900)]
        )
    assert len(common._counts) == 128 * 32
