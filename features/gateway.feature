Feature: Routes, grace, placing and words of the platform decide alike everywhere

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

  Scenario: Weights split the requests, and one request always goes to one service
    Given shares of 90 for "old" and 10 for "new"
    Then of 2000 requests 8 to 12 in 100 go to "new"

  Scenario: Grace of all instances together stays within the tolerated excess
    Given 9 instances and a tolerated excess of 20 requests and a tenth in 5 s
    When each asks for grace 50 times a second for 20 s
    Then no window of 5 s has more grace than is tolerated for 10 a second and burst 10

  Scenario: A program stays at one endpoint until that one is busier than others
    Given 5 endpoints with 16 places
    Then a program is sent to one endpoint by every instance
    When that endpoint has 8 more requests than the others
    Then the program is sent to another one

  Scenario: An endpoint that fails twice is avoided, and tried again later
    Given 2 endpoints with 16 places
    When the first endpoint fails 2 times
    Then nothing is sent to the first endpoint for 1.4 s
    And the first endpoint is sent something after 1.6 s

  Scenario Outline: A request that the platform's words make invalid is refused
    Then a request with "<header>" "<value>" is refused as malformed

    Examples:
      | header        | value |
      | x-request-id  |       |
      | x-deadline-ms | soon  |
      | x-token-usage | 5,x   |

  Scenario: A reader that stalls costs lines, not time
    Given a pipe that nobody reads
    When 20000 lines are logged
    Then logging took less than 2 s and lines were left out
    And a refused request's line is among the last to be left out

  Scenario: An instance whose clock was set back before its restart gets rates again
    Given an owner of rates that knows an instance
    When the instance starts again with a lower incarnation
    Then it is granted nothing at once
    And it is granted something 2.1 s later

  Scenario: A full disk confirms nothing and loses nothing that was confirmed
    Given a store's files with one record
    When the disk is full and another record is written
    Then the write fails
    When the disk has room again and the record is written once more
    Then both records are found after a power loss

  Scenario: The list of endpoints reaches new instances at once
    Given a publisher that has sent its list to 2 instances
    When a third instance joins, and the second starts anew, 0.1 s later
    Then the list is sent to just these two

  Scenario: An answer is waited for by the times of those before it
    Given answers of one route that take 20 to 100 ms
    Then an answer is given up on after 120 to 160 ms
    When answers take 1 s from now on, and each is given up on in vain
    Then an answer is given up on after 1000 to 1600 ms
    And nothing is known of another route

  Scenario: An endpoint with an open connection is preferred to one as busy
    Given 5 endpoints with 16 places, of which the third has an open connection
    Then every request of no program is sent to the third endpoint
    When the third endpoint has 2 more requests than the others
    Then no request of no program is sent to the third endpoint
