Feature: The control state applies commands deterministically
  Submitting, resending and racing operators get correct outcomes, and the audit trail
  records them.

  Scenario: Of two submissions based on one version only the first is accepted
    Given a control state with customers "a b"
    When control operators "ann" and "bob" submit on the same version
    Then the control answers of "ann bob" are "0 2003"
    And the control conflict names "ann" and version 2

  Scenario: Key changes do not outdate the base of a submission
    Given a control state with customers "a"
    When control operator "ann" issues key 1 for "a" before submitting on version 1
    Then the last control answer is 0

  Scenario: A resent submission gets the first outcome, one with another text an error
    Given a control state with customers "a"
    When a control submission is resent, and sent again with another text
    Then both control answers are equal and the third is 2007

  Scenario: A rollback is a new version with the old text
    Given a control state with customers "a"
    When control customers become "a b" and the control state is rolled back to version 1
    Then control version 3 holds the text of version 1

  Scenario: An operator without permission is refused and the attempt is audited
    Given a control state with customers "a b"
    And a control operator "kay" who may only issue keys for "a"
    When control operator "kay" submits, issues for "a" and issues for "b"
    Then the last control answers are "2004 0 2004"
    And the control audit trail holds 2 refusals of "kay" and verifies

  Scenario: A wrong token is refused and does not use up the submission id
    Given a control state with customers "a b"
    And a control operator "kay" who may only issue keys for "a"
    When a stranger sends a control submission in the name of "kay" before "kay" does
    Then the last control answers are "2004 0"

  Scenario: A withdrawn key is never issued again
    Given a control state with customers "a"
    When control key 1 is issued, withdrawn, withdrawn again and issued again
    Then the last control answers are "0 0 0 2009"

  Scenario: Issuing for an unknown customer and withdrawing an unknown key are refused
    Given a control state with customers "a"
    When a control key is issued for "z" and an unknown one withdrawn
    Then the last control answers are "2010 2008"

  Scenario: Tampering with the audit trail is detected
    Given a control state with customers "a"
    When control customers become "a b" and the control state is rolled back to version 1
    Then changing, dropping or swapping any control audit record is detected

  Scenario: Changes since a version rebuild the latest state from an older one
    Given a control state with customers "a"
    When 300 random control commands are applied from seed 7
    Then the control changes rebuild the latest state from every version

  Scenario: A decoded state behaves like the one that was encoded
    Given a control state with customers "a"
    When 300 random control commands are applied from seed 8
    Then a decoded control state applies 200 more commands with equal bytes

  Scenario: An exported state can be imported into an empty one
    Given a control state with customers "a b"
    When the control state is exported and imported into an empty one
    Then the imported control state has the same text and keys at a later version

  Scenario: Memory for outcomes, configurations, changes and records is bounded
    Given a control state with customers "a"
    When 20000 control keys are issued and withdrawn
    Then the control state keeps no more than its bounds

  Scenario: A submission and its difference in the log count as the same command
    Given a control state with customers "a b"
    When a control submission is applied as a difference and resent in full
    Then the last control answers are "0 0"
    And the control difference is 3 times smaller than the text

  Scenario: A difference made from another configuration is refused
    Given a control state with customers "a b"
    When a control difference comes after the configuration has changed
    Then the last control answers are "0 2003"

  Scenario: Checking only the changed sections finds the same faults as a full check
    Then 400 random control texts from seed 5 get the same verdict either way
