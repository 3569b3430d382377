Feature: placement cost of a minion by the expected duration of a task there

  Scenario Outline: a task starts where it ends later, or is moved around for noise
    Given 8 minions of 4 processors with speed placement
    And tasks that take <low> to <high> seconds
    And "m5" has a run and takes <ratio> times as long as others
    When job "a" of a short task arrives
    And 0.1 seconds pass in rounds
    Then job "a" runs <where>

    Examples:
      | low | high | ratio | where         | note                            |
      | 0.9 | 1.1  | 1.0   | on "m5"       | filled minions come first       |
      | 0.9 | 1.1  | 1.1   | on "m5"       | below the spread                |
      | 0.9 | 1.1  | 1.6   | not on "m5"   | not slow, but certainly slower  |
      | 0.2 | 3.8  | 1.4   | on "m5"       | below the spread                |
      | 0.2 | 3.8  | 4.0   | not on "m5"   |                                 |
