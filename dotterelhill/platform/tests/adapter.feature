Feature: the adapter reads what the platform says and refuses what it can't use

  Scenario Outline: a settings file with a fault is used, or the fault is not named
    Given a settings file with <change>
    When the settings are loaded
    Then loading fails and names "<field>"

    Examples:
      | change                      | field            |
      | no platform.address         | address          |
      | no listen.front             | front            |
      | listen.front of "nowhere"   | listen.front     |
      | no nodeName                 | nodeName         |
      | internalPorts of []         | internalPorts    |
      | bounds.maxHoldMs of 0       | bounds.maxHoldMs |
      | no text at all              | malformed        |

  Scenario: a settings file with fields that are not known is refused
    Given a settings file with more fields
    When the settings are loaded
    Then the lease of a run is 6.0 seconds

  Scenario: the command without settings ends in a trace
    When the scheduler command runs without its variable
    Then it ends with status 2 and names "DOTTERELHILL_BOOT"

  Scenario Outline: a malformed job is stored
    When a job is submitted as <body>
    Then it is refused and "<field>" is named

    Examples:
      | body                                                          | field    |
      | not json                                                      | malformed |
      | []                                                            | object   |
      | {"steps":[{"count":1}]}                                       | spec     |
      | {"spec":"x","steps":[]}                                       | steps    |
      | {"spec":"x","steps":[{"count":0}]}                            | count    |
      | {"spec":"x","steps":[{"count":-3}]}                           | count    |
      | {"spec":"x","steps":[{"count":1,"cpu":-1}]}                   | negative |
      | {"spec":"x","steps":[{"count":"many"}]}                       | count    |
      | {"spec":"x","steps":[{"count":999999999}]}                    | tasks    |
      | {"spec":"x","steps":[{"count":1,"after":[0]}]}                | after    |
      | {"spec":"x","steps":[{"count":1},{"count":1,"after":[1]}]}    | after    |
      | {"spec":"x","steps":[{"count":1,"after":[-1]}]}               | after    |
      | {"spec":5,"steps":[{"count":1}]}                              | spec     |
      | deep nesting                                                  | ecursion |
      | a spec of 5000 bytes                                          | spec     |

  Scenario: a job loses a need on its way in
    When a job is submitted with every field
    Then the step has every need

  Scenario Outline: an entry of another writer becomes a minion
    When a minion entry is read as <entry>
    Then it names no minion

    Examples:
      | entry              |
      | no address         |
      | a numeric zone     |
      | state of "resting" |
      | bytes              |
      | an empty object    |
      | no capacity        |

  Scenario: a draining minion is read as ready
    When a minion entry is read as draining with 4000 ms left
    Then it names a minion that leaves in 4 seconds

  Scenario: an older configuration replaces a newer one
    When configurations 7, 9 and 8 are read
    Then configuration 9 is in force

  Scenario: a configuration that can't be read removes the one in force
    When configurations 7 and a broken one are read
    Then configuration 7 is in force

  Scenario: a failure domain stays taken out after it was taken back
    When failure domain "caxias" is taken out and back
    Then no failure domain is taken out

  Scenario: a cut record at the end of an answer is read
    When records are read of which the last is cut
    Then the whole ones are returned
