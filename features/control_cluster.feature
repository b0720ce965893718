Feature: Control instances over real sockets and disks
  Operators change the state through any instance while one of three is down.

  Scenario: Three instances form a cluster and continue after the leader stops
    Given a control site of 3 instances
    When a control operator submits through a follower and issues a key
    And the leading control instance is stopped and a key is issued again
    Then the control site holds version 4 on 2 instances
    And the control site's audit trail verifies

  Scenario: A minority refuses changes with a code for "not made" or "unknown"
    Given a control site of 3 instances
    When two control instances are stopped and a key is issued
    Then the control operator's error says that the change was not made or is unknown

  Scenario: No acknowledged change is lost when all instances restart
    Given a control site of 3 instances
    When a control operator submits through a follower and issues a key
    And all control instances are stopped and started
    Then the control site holds version 3 on 3 instances
    And the control site's audit trail verifies

  Scenario: Operators authenticate, and the state is imported into another cluster
    Given a control site of 1 instances
    When control operator "kay" is defined for keys and tries to submit and to export
    Then the control refusals are "2004 2004" and a wrong token is refused with 2004
    And the control state exported from it is imported into another site

  Scenario: A key withdrawal returns once every instance has confirmed it
    Given a control site of 3 instances
    When a control key is withdrawn
    Then the control withdrawal names 3 instances that confirmed it
