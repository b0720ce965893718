Feature: An endpoint whose answers say that it leaves takes no new work
  The list of endpoints shows a leaving endpoint late. Its own answers show it first,
  and each instance that has passed one on must stop sending it requests.

  Scenario: An endpoint that says so takes no new work, while the list still has it
    Given a follower with the endpoints "e1" and "e2" started at 100
    When an answer of "e1" says that it leaves
    Then the endpoints that take new work are "e2"
    When the list comes again with "e1" started at 100
    Then the endpoints that take new work are "e2"

  Scenario: A later start of the endpoint takes new work again
    Given a follower with the endpoints "e1" and "e2" started at 100
    When an answer of "e1" says that it leaves
    And the list comes again with "e1" started at 200
    Then the endpoints that take new work are "e1 e2"

  Scenario: A late answer of the former start says nothing about the present one
    Given a follower with the endpoints "e1" and "e2" started at 100
    When the list comes again with "e1" started at 200
    And a late answer of "e1" started at 100 says that it leaves
    Then the endpoints that take new work are "e1 e2"

  Scenario: Without start times, the endpoint takes new work once it is listed anew
    Given a follower with the endpoints "e1" and "e2" without start times
    When an answer of "e1" says that it leaves
    And the list comes again without "e1"
    And the list comes again with "e1" without a start time
    Then the endpoints that take new work are "e1 e2"

  Scenario Outline: The header's value <values> means <meaning>
    Then an answer with the leaving values "<values>" means <meaning>

    Examples:
      | values | meaning |
      | none   | no      |
      | 1      | yes     |
      | 0      | no      |
      | 0,1    | yes     |
      | 1,1    | yes     |
      | soon   | yes     |

  Scenario Outline: On the platform, no request follows <answers> that says so
    Given a site with three control instances, three stores and two entry instances
    And only the first tool server takes new work
    And the first tool server says in its answers that it leaves
    And the first tool server refuses <refusals> requests as not run
    When 2 callers ask for "/tool/1" one after the other
    Then every answer is <status>
    When the second tool server takes new work again
    And 8 callers ask for "/tool/1" one after the other
    Then every answer is 200
    And the first tool server was sent 2 requests

    Examples:
      | answers   | refusals | status |
      | an answer | 0        | 200    |
      | a refusal | 2        | 503    |
