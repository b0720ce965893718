Feature: Limits under faults, seeds from 251
  Whatever faults owners, holders, clocks and messages have, no window of true time
  admits more requests of a customer than its burst plus its rate over the window.

  Scenario: Limits hold through faults drawn from seeds 251 to 500
    When limits run through drawn faults for 250 seeds from 251
    Then no window of any limits run had a request in excess

  Scenario: Limits hold through restarts before bursts for seeds 251 to 300
    When limits run through restarts before bursts for 50 seeds from 251
    Then no window of any limits run had a request in excess
