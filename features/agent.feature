Feature: An instance finds the leader soon after an election

  Scenario: A control instance without a leader is asked again soon
    Given an instance that reports to a control instance
    When the control instance answers that it knows no leader
    Then the instance reports again within 0.4 s
