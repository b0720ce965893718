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
    And 3 s pass with callers at both instances
    Then both instances are given out and ready
    And instance 1 sends its own requests again

    Examples:
      | cut    |
      | hang   |
      | reset  |

  Scenario: Open connections that live on are used until more are needed than there are
    Given a site with three control instances, three stores and two entry instances
    And 1 s of callers at both instances
    When the connections of instance 1 to all endpoints refuse
    And 3 s pass with callers at both instances
    Then of these 3 s both instances served 0.95 of the first attempts
    When every tool server takes 0.6 s for an answer
    And 3 s pass with callers at both instances
    And 3 s pass with callers at both instances
    Then of these 3 s both instances served 0.95 of the first attempts
    And only instance 2 is given out and ready
    And no order of any caller ran twice

  Scenario: Two instances that are cut off do not pass requests on to each other
    Given a site with three control instances, three stores and two entry instances
    And 1 s of callers at both instances
    When the connections of instance 1 to all endpoints hang
    And the connections of instance 2 to all endpoints hang
    And 3 s pass with callers at both instances
    And 2 s pass with callers at both instances
    Then each of them was refused within 0.5 s as not run, with a time to come back
    When the connections of instance 1 heal
    And 2 s pass with callers at both instances
    And 2 s pass with callers at both instances
    Then of these 2 s both instances served 0.95 of the first attempts

  Scenario: A relayed request that would need a second hop is refused as not run
    Given a site with three control instances, three stores and two entry instances
    And 1 s of callers at both instances
    When the connections of instance 1 to all endpoints hang
    And 3 s pass with callers at both instances
    Then a request that says it was relayed is refused by instance 1 with code 1504
    And instance 2 serves one, and no endpoint was sent the mark

  Scenario: A peer that breaks off after it was sent an order leaves its outcome unknown
    Given a site with three control instances, three stores and two entry instances
    And 1 s of callers at both instances
    When the connections of instance 1 to all endpoints hang
    And 3 s pass with callers at both instances
    And every tool server takes 1.5 s for an answer
    And an order is sent to instance 1, whose connections to peers break 0.5 s later
    Then the order is answered with 502
    And no order of any caller ran twice

  Scenario: A relayed request ends within the time of its caller
    Given a site with three control instances, three stores and two entry instances
    And 1 s of callers at both instances
    When the connections of instance 1 to all endpoints hang
    And 3 s pass with callers at both instances
    And every tool server takes 5 s for an answer
    And an order with 1 s is sent to instance 1
    Then the order is answered with 504 within 1.3 s
    And the order's endpoint was told of less than 1 s

  Scenario: Endpoints that are silent for a second are neither avoided nor is the instance cut off
    Given a site with three control instances, three stores and two entry instances
    And 1 s of callers at both instances
    When every tool server takes 1.2 s for an answer
    And 3 s pass with callers at both instances
    Then of these 3 s both instances served 0.95 of the first attempts
    And both instances are given out and ready

  Scenario Outline: Where <what>, the instance is <reach>
    Given an instance that lists 5 endpoints
    When to it <what>
    Then it is <reach> by its own belief

    Examples:
      | what                                                  | reach   |
      | one endpoint takes no connection, three others do     | reached |
      | two endpoints take no connection, three others do     | reached |
      | no endpoint takes a connection                        | cut off |
      | answers are awaited for 3 s, and connections succeed  | reached |
      | answers are awaited for 3 s, and no connection opens  | cut off |
      | no answer is awaited for 60 s                         | reached |
      | it was cut off, and one connection succeeds           | cut off |
      | it was cut off, and two connections succeed           | reached |
      | it was cut off, and connections succeed in part       | cut off |
      | a check has no outcome for 3 s                        | reached |
      | no endpoint of one service opens, those of another do | reached |

  Scenario: The load on peers is bounded and stays in the failure domain
    Given peers "p1" and "p2" in the own failure domain and "p3" in another
    Then of 64 requests "p1" and "p2" get 32 each, and no other peer takes one
    And a peer that took no connection gets none for 2 s
    And with no peer in the own failure domain "p3" gets them
    And a peer that is itself cut off gets no requests

  Scenario: On the own interface, callers of an entry that reaches no engine are served by another
    Given a fleet site of one control instance and two entries
    When 10 questions come to "entry-1" while it reaches no endpoint, and 10 after
    Then the fleet site answered 20 of them
    And "entry-1" sent its own requests again after the cut
    And a question that was relayed to it before is refused with 1504
