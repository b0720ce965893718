Feature: Instances find the leader quickly after an election, and failures are detected

  Scenario: An instance retries soon when a control instance knows no leader
    Given an instance that reports to a control instance
    When the control instance answers that it knows no leader
    Then the instance reports again within 0.4 s

  Scenario: An instance that has just started finds the control instance that leads
    Given an instance that has just started, with three control instances
    When the first is not up, and the second knows no leader
    Then the instance has asked the third within 0.3 s
    And it asks at most 40 times in 10 s while there is no leader

  Scenario: An instance reports to a named leader, even if that leader timed out before
    Given an instance that reports to three control instances
    When the first control instance is silent for 1.3 s
    And the second control instance answers that the first one leads
    Then the instance reports to the first one immediately

  Scenario: A new leader announces itself to every member immediately
    Given a registrar whose agent's member list has two members
    When it becomes the leader of the second term
    Then it names the leader to both members within 0.2 s, once

  Scenario: A registrar names a new leader to instances whose reports it refused
    Given a registrar that has refused a report without naming a leader
    When it learns that another control instance leads
    Then it names the leader to the sender of the report, once

  Scenario: An instance reports again when a leader that refused its report names itself
    Given an instance whose report was refused by a leader that was not yet elected
    When that leader names itself
    Then the instance reports to the leader immediately

  # Guards against logs that can't say where a configuration's time went (CONFIG).
  Scenario: An instance knows who delivered a version, and how long it was awaited
    Given an instance that reports to a control instance
    When a grant names a later version, which "control-1" delivers 0.7 s later
    Then the instance has it from "control-1", awaited for 0.7 s

  Scenario Outline: A silent member is suspected quickly
    Given the records of a fleet of <members> members, of which one is silent
    Then that member is suspected after <early> to <late> s, and no other is suspected

    Examples:
      | members | early | late |
      | 12      | 1.7   | 2.1  |
      | 80      | 3.2   | 3.6  |
