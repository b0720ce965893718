Feature: A site survives errors in the background work of its instances

  Background:
    Given a site whose instances record how they end

  Scenario Outline: Background work that raises ends no instance: <work>
    When <work> raises 3 times at each instance that does it
    Then every instance still runs
    And "/tool/1" is answered 200 by both entry instances

    Examples: at entry instances
      | work                              |
      | installing the addresses to check |
      | sharing suspects                  |
      | expiring idle connections         |
      | checking an endpoint              |
      | settling a turn                   |

    Examples: at control instances
      | work                       |
      | planning the stores        |
      | reading the server list    |
      | choosing health checks     |
      | publishing the server list |

    Examples: at all instances
      | work                        |
      | ticking the membership agent |

  Scenario Outline: A configuration whose putting in force raises is in force soon: <work>
    When "/new/" is added while <work> raises 3 times at instance 1
    Then "/new/1" is answered 200 by instance 1 within 2 s
    And instance 1 has the rates of that configuration

    Examples:
      | work                 |
      | decoding it          |
      | installing its rates |
      | reading its stores   |

  Scenario: What a newer configuration may allow is refused as not run until it is in force
    When "/new/" is added while decoding it raises 40 times at instance 1
    Then "/new/1" is answered 503 by instance 1 within 2 s
    And "/new/1" is answered 200 by instance 1 within 8 s

  Scenario: A control instance whose write failed ends with its code
    When a write of control instance 3 fails
    Then "control-3" ends with the code 2105

  Scenario: A store that can't write a record ends with its code
    When store 3 can't encode a record
    Then "store-3" ends with the code 2106

  Scenario: An error within the ledger of a store ends it with its code
    When the ledger of store 3 raises at a message
    Then "store-3" ends with the code 2106
