Feature: The publisher keeps followers up to date during continuous changes

  Scenario: A follower that restarts receives the complete state again
    Given a publisher whose state changes every 0.3 s
    And a follower that has reported the latest version
    When the follower restarts and reports version 0
    Then it is up to date within 1.5 s

  Scenario: A lost change is sent again although later changes follow
    Given a publisher whose state changes every 0.3 s
    And a follower that has reported the latest version
    When every message to the follower is lost for 0.5 s
    Then it is up to date within 2.5 s
