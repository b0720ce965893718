Feature: Whatever bytes a request has, it gets an answer or its connection is closed

  Scenario: Bytes of all kinds at the addresses of a site
    Given a site whose addresses get bytes of all kinds
    When 400 requests are sent to each kind of address in turn, from seed 1
    Then each was answered, but not with 500, or its connection was closed
    And no instance has ended, and callers are served
