Feature: Routing, tolerated excess, balancing, logging and endpoint lists of an entry

  Scenario Outline: The longest prefix of the host decides
    Given the routes "/a/" and "/a/b/" of host "h.example"
    Then "<host>" and "<path>" lead to "<route>"

    Examples:
      | host      | path     | route |
      | h.example | /a/x     | /a/   |
      | h.example | /a/b/x   | /a/b/ |
      | h.example | /a/b     | /a/   |
      | h.example | /b/x     | none  |
      | i.example | /a/x     | none  |

  Scenario: Weights split the requests, and a request always goes to the same service
    Given shares of 90 for "old" and 10 for "new"
    Then of 2000 requests 8 to 12 in 100 go to "new"

  Scenario: The excess that all instances grant together stays within the tolerated excess
    Given 9 instances and a tolerated excess of 20 requests and a tenth in 5 s
    When each is asked 50 times a second for 20 s to admit a request in excess
    Then no window of 5 s has more excess than is tolerated for 10 a second and burst 10

  Scenario: A program stays at one endpoint unless that endpoint is busier than others
    Given 5 endpoints with 16 slots
    Then a program is sent to one endpoint by every instance
    When that endpoint has 8 more requests than the others
    Then the program is sent to another one

  Scenario: An endpoint that fails twice is avoided, and tried again later
    Given 2 endpoints with 16 slots
    When the first endpoint fails 2 times
    Then no request is sent to the first endpoint for 1.4 s
    And requests are sent to the first endpoint after 1.6 s

  Scenario Outline: A request with an invalid platform header is refused
    Then a request with "<header>" "<value>" is refused as malformed

    Examples:
      | header        | value |
      | x-request-id  |       |
      | x-deadline-ms | soon  |
      | x-token-usage | 5,x   |

  Scenario: A stalled log reader causes dropped lines, not delays
    Given a pipe whose reader has stalled
    When 20000 lines are logged
    Then logging took less than 2 s and lines were dropped
    And lines of refused requests are the last to be dropped

  Scenario: An instance whose clock was set back before its restart is granted rates again
    Given an owner of rates that has granted units to an instance
    When the instance starts again with a lower incarnation
    Then it is granted nothing at once
    And it is granted something 2.1 s later

  Scenario: On a full disk nothing is confirmed, and nothing confirmed is lost
    Given a store's files with one record
    When the disk is full and another record is written
    Then the write fails
    When the disk has room again and the record is written once more
    Then both records are found after a power loss

  Scenario: The list of endpoints is sent to new instances at once
    Given a publisher that has sent its list to 2 instances
    When a third instance joins and the second restarts 0.1 s later
    Then the list is sent to these two only

  Scenario: The hedge delay follows the recent answer times
    Given answers of one route that take 20 to 100 ms
    Then a request is sent to another endpoint after 120 to 160 ms
    When answers take 1 s from now on, and each is timed out
    Then a request is sent to another endpoint after 1000 to 1600 ms
    And another route has no hedge delay

  Scenario: Of equally busy endpoints, one with an open connection is preferred
    Given 5 endpoints with 16 slots, of which the third has an open connection
    Then every request without a program is sent to the third endpoint
    When the third endpoint has 2 more requests than the others
    Then no request without a program is sent to the third endpoint
