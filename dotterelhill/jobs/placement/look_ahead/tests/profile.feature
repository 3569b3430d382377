Feature: free capacity of a minion over time

  Scenario Outline: room is expected before the runs in its way end, or never although they do
    Given a minion of 8 processors at 10.0 s
    And a run of <run> planned at 9.0 s
    Then a task of 6 processors fits from <time> s on
    And a task of 10 processors fits from inf s on

    Examples:
      | run                                                | time |
      | 4 processors estimated at 5.0 s                    | 16.7 |
      | 4 processors estimated at 5.0 s on a slow minion   | 70.6 |
      | 4 processors estimated at 5.0 s that is stopped    | 10.5 |
      | 4 processors estimated at 0.4 s that is overdue    | 10.6 |
      | 4 processors that is lasting                       | inf  |
      | 2 processors estimated at 5.0 s                    | 10.0 |
      | 4 processors estimated at 5.0 s that is a filler   | 10.0 |

  Scenario: a profile is kept although its minion has another run, or another size
    Given a minion of 8 processors at 10.0 s
    And a run of 4 processors estimated at 5.0 s planned at 9.0 s
    Then a task of 6 processors fits from 16.7 s on
    When the run ends
    Then a task of 6 processors fits from 10.0 s on
    When the minion shrinks to 4 processors
    Then a task of 6 processors fits from inf s on
