Feature: An instance that reaches no endpoint is itself cut off
  It leaves the directory, and serves its callers through a peer until they have gone
  elsewhere. That endpoints fail for it says nothing about them.

  Scenario Outline: Callers of an instance whose connections <cut> are served like the others
    Given a site with three control instances, three stores and two entry instances
    And 1 s of callers at both instances
    When the connections of instance 1 to all endpoints <cut>
    And 3 s pass with callers at both instances
    And 3 s pass with callers at both instances
    Then of these 3 s both instances served 0.95 of the first attempts
    And no order of any caller ran twice
    And only instance 2 is given out and ready
    When the connections of instance 1 heal
    And 3 s pass with callers at both instances
    Then both instances are given out and ready
    And instance 1 sends its own requests again

    Examples:
      | cut    |
      | hang   |
      | reset  |
      | refuse |
