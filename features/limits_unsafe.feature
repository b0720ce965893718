Feature: Limits without one of their protections
  Without any one protection the check of every window fails, so the check is effective.

  Scenario Outline: Without <protection>, some window has a request in excess
    Given limits without <protection>
    When limits run through <faults> for 150 seeds from 1, until one breaks
    Then some window of a limits run had a request in excess

    Examples:
      | faults                 | protection                                        |
      | drawn faults           | the count of outstanding grants against the burst |
      | restarts before bursts | the wait of a new owner                           |
      | drawn faults           | the empty burst of a new owner                    |
      | drawn faults           | the owner's lease                                 |
      | drawn faults           | the rule that expired grants count as spent       |
      | drawn faults           | the record of closed grants                       |
      | drawn faults           | the record of received grants                     |
      | restarts before bursts | the incarnation of the holder                     |
      | drawn faults           | the count of a grant's time from its demand       |
      | drawn faults           | the later expiry at the owner                     |
      | drawn faults           | the slowed refill                                 |
      | drawn faults           | the time of a spend in the restored refill        |
