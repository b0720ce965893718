Feature: A cold endpoint gets no more requests than it takes
  An endpoint that has just started, or may have become cold, is sent few requests from
  all instances together. What is over it goes to other endpoints, or is refused at once.

  Scenario: An endpoint that restarts cold under its address is not sent its usual load
    Given a site whose first tool server is cold after each start
    And the tools' service has a rule for cold endpoints
    When 60 requests a second come for 9 s and the first tool server restarts after 2 s
    Then in no second the cold tool server gets more requests than it bears
    And the cold tool server gets at least 5 requests
    And every answer of the load is 200
    And within 1.2 of its cold time the tool server gets its usual load again
    And requests on warm endpoints asked for no permit

  Scenario Outline: No second is over the bound while owners and links fail, <instances> instances
    When an endpoint shared by <instances> instances restarts cold in 20 drawn seeds
    Then no run had more requests in a second than the cold endpoint bears

    Examples:
      | instances |
      | 3         |
      | 20        |
      | 60        |

  Scenario: After an evacuation, endpoints that became cold meanwhile are sent few requests
    Given 20 instances whose endpoint becomes cold without a restart
    When the evacuation of its domain ends right afterwards
    Then no second had more requests than the cold endpoint bears
    And its usual load is back within 1.2 of its cold time

  Scenario: Connections that ended with a restart don't make its cold time longer
    Given 20 instances with requests and an idle connection at their endpoint
    When the endpoint restarts and each instance finds its connection closed 5 s later
    Then requests need permits before 1.1 of its cold time and not after it

  Scenario: Connections that end after a restart are signs of another one
    Given 20 instances with requests and an idle connection at their endpoint
    When the endpoint restarts and connections opened since are found closed 5 s later
    Then every instance counts the endpoint as cold then

  Scenario Outline: A cold time of <text> in the list counts as <reading>
    Then a list entry with the cold time <text> makes its endpoint <reading>

    Examples:
      | text    | reading |
      | 0       | warm    |
      | 2500    | cold    |
      | -5      | cold    |
      | "soon"  | cold    |
      | 1e300   | cold    |
      | [1]     | cold    |

  Scenario Outline: A route for <route> and a customer for <customer> reach <reached>
    Then a route for <route> and a customer for <customer> reach domains <reached>

    Examples:
      | route | customer | reached |
      | any   | any      | a b c   |
      | north | any      | a       |
      | any   | south    | b       |
      | north | south    | none    |
