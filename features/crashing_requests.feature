Feature: A request that crashes the endpoints that run it is kept from them
  It comes again under other ids, at any instance. Ids differ; customer, path and body do
  not.

  Scenario: One request crashes endpoint after endpoint
    Given a site with five tool servers that crash on "deadly"
    When the body "deadly" comes each 0.1 s at both instances for 8 s
    Then 3 s after the third crash at most 3 more such requests were sent
