Feature: An instance finds the leader soon after an election

  Scenario: A control instance without a leader is asked again soon
    Given an instance that reports to a control instance
    When the control instance answers that it knows no leader
    Then the instance reports again within 0.4 s

  Scenario: An instance that is told the leader reports to it next, whatever it tried
    Given an instance that reports to three control instances
    When the first control instance is silent for 1.3 s
    And the second control instance answers that the first one leads
    Then the instance reports to the first one at once

  Scenario: A new leader names itself to every member at once
    Given a registrar that has followed two members
    When it becomes the leader of the second term
    Then both members are told who leads within 0.2 s, once

  Scenario: Instances that found no leader are told of it once there is one
    Given a registrar that has told an instance of no leader
    When it learns that another control instance leads
    Then that instance is told who leads, once

  Scenario: A leader that was asked before it led names itself and is asked again
    Given an instance that has reported to its leader too early
    When that leader names itself
    Then the instance reports to the leader at once

  Scenario Outline: A silent member is soon given out no more
    Given a registrar that leads a fleet of <members> members, of which one falls silent
    Then that one is suspected after <early> to <late> s, and no other one ever

    Examples:
      | members | early | late |
      | 12      | 1.7   | 2.1  |
      | 80      | 3.2   | 3.6  |
