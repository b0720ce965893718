Feature: What raised while a version was put in force is done when it is tried again

  Scenario: An evacuation whose reading raised once is in force after the next try
    Given an instance that reads its evacuations, which raises 1 time
    When a version with an evacuated domain is put in force twice
    Then the domain is evacuated

  Scenario: Endpoints that could not be installed once are installed at the next try
    Given a dispatcher whose scheduler raises 1 time
    When a configuration of 2 endpoints is installed twice
    Then the scheduler has 2 targets

  Scenario: An evacuation that the scheduler didn't take is taken at the next try
    Given a dispatcher of 2 endpoints, one in each of two domains
    When its scheduler raises 1 time and a domain is evacuated twice
    Then the scheduler has 1 targets

  Scenario: A view that could not be indexed once is built at the next try
    Given a builder of views whose index raises 1 time
    When a view with a customer is built twice
    Then the view has the customer

  Scenario: Addresses that could not be installed once are installed at the next try
    Given a check of endpoints whose machine raises 1 time
    When addresses are installed there twice
    Then the machine got the addresses
