Feature: The platform adapter decodes valid input and rejects invalid input

  Scenario Outline: An invalid settings file is used, or the error does not name the field
    Given a settings file with <change>
    When the settings are loaded
    Then loading fails with an error that names "<field>"

    Examples:
      | change                      | field            |
      | no platform.address         | address          |
      | no listen.front             | front            |
      | listen.front of "nowhere"   | listen.front     |
      | no nodeName                 | nodeName         |
      | internalPorts of []         | internalPorts    |
      | bounds.maxHoldMs of 0       | bounds.maxHoldMs |
      | bounds.stabilityMs of 0     | bounds.stabilityMs |
      | heartbeatMs of -1           | heartbeatMs      |
      | bounds.revokeMs of 0        | bounds.revokeMs  |
      | bounds.configApplyMs of -1  | bounds.configApplyMs |
      | no text at all              | malformed        |

  Scenario: A settings file with unknown fields is refused
    Given a settings file with unknown fields
    When the settings are loaded
    Then the lease of a run is 6.0 seconds

  Scenario Outline: The sizes of minions count as up to date for longer than the site allows
    Given a settings file with bounds.stabilityMs of <stability>
    And its heartbeatMs is <heartbeat>
    When the settings are loaded
    Then the list of minions may be <seconds> seconds old

    Examples:
      | stability | heartbeat | seconds |
      | 4000      | 1100      | 2.9     |
      | 5000      | 1100      | 3.9     |
      | 4000      | 5000      | 2.0     |

  Scenario Outline: A misspelled switch is ignored, so that a part stays off without notice
    Given a settings file with nodeName of "vm-1"
    And the variable <variable> is "<value>"
    When the settings are loaded
    Then loading fails with an error that names "<variable>"

    Examples:
      | variable                       | value |
      | DOTTERELHILL_LOOK_AHEAD        | yes   |
      | DOTTERELHILL_SHORTAGE_CONTROL  | On    |
      | DOTTERELHILL_RECLAIM           | 0     |
      | DOTTERELHILL_SPEED_PLACEMENT   | true  |

  Scenario: A switch that is set to "on" does not reach the scheduler
    Given a settings file with nodeName of "vm-1"
    And the variable DOTTERELHILL_LOOK_AHEAD is "on"
    When the settings are loaded
    Then look_ahead and reclaim are the switches that are on

  Scenario Outline: The scheduler command without settings ends with a traceback
    When the scheduler command runs as <module> without its variable
    Then it ends with status 2 and an error that names "DOTTERELHILL_BOOT"

    Examples:
      | module                |
      | dotterelhill          |
      | dotterelhill.platform |

  # With a tenth of a processor, 0.1 s of loading is a second in which a restarted process serves nothing.
  Scenario: A restarted scheduler process loads the command line and certificates before it serves
    When the entry point of the scheduler process has loaded
    Then it has loaded neither defopt nor docutils, and no certificates
    And later collections of garbage leave out what it has loaded

  Scenario Outline: A malformed job is accepted
    When a job is submitted as <body>
    Then it is refused with an error that names "<field>"

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

  Scenario: A field of a submitted job is lost while it is decoded
    When a job is submitted with every field
    Then the decoded step has every field

  Scenario Outline: An invalid minion entry is decoded as a minion
    When a minion entry is decoded with <entry>
    Then no minion is decoded

    Examples:
      | entry              |
      | no address         |
      | a numeric zone     |
      | state of "resting" |
      | bytes              |
      | an empty object    |
      | no capacity        |
      | cpu of -1          |
      | memMb of -1        |
      | gpu of -1          |
      | cpu of null        |
      | cpu of 1.5         |
      | memMb of null      |
      | cpu of 401 digits  |

  Scenario: A draining minion is decoded as ready
    When a minion entry is decoded with draining state and 4000 ms left
    Then a minion is decoded that leaves in 4 seconds

  Scenario: An older configuration replaces a newer one
    When configurations 7, 9 and 8 are read
    Then configuration 9 is in force

  Scenario: A configuration that can't be decoded removes the one in force
    When configurations 7 and an invalid one are read
    Then configuration 7 is in force

  Scenario: A route is not served because another route has the same name
    When a configuration is read in which routes to "/a/", "/b/" and "/c/" have one name
    Then a request to each of "/a/1 /b/1 /c/1" selects the route of its path
    And no two queues have one name

  Scenario: Requests for unknown queues are refused for good because a newer configuration can't be decoded
    When configurations 7 and an invalid one are read
    Then the configuration counts as outdated
    When configuration 9 is read
    Then the configuration counts as current

  Scenario Outline: An unusual tenant makes the configuration unreadable or leaves it without keys
    When a configuration with a tenant with <entry> is read
    Then its key belongs to a tenant of weight <weight> and a limit of <limit>
    And the text form of the configuration holds no key

    Examples:
      | entry                                             | weight | limit  |
      | {"name":"t"}                                      | 1      | 0 0 0  |
      | {"name":"t","weight":2.5,"maxCount":{"cpu":4000}} | 2.5    | 4000 0 0 |
      | {"name":"t","weight":-1,"maxCount":{"memMb":-5}}  | 1      | 0 0 0  |
      | {"name":"","maxCount":null}                       | 1      | 0 0 0  |
      | {"name":"300 letters","maxCount":{"gpu":1}}       | 1      | 0 0 1  |
      | {"name":"t","priority":"high","allowedRegions":5} | 1      | 0 0 0  |

  Scenario: A failure domain remains evacuated after the end of its evacuation
    When the evacuation of failure domain "caxias" starts and ends
    Then no failure domain is evacuated

  Scenario: A truncated record at the end of an answer is decoded
    When records are decoded of which the last one is truncated
    Then only the complete records are returned

  Scenario Outline: A poll of a minion <state> acknowledges ends of the life that answers it with the numbers of a former life
    # Guards against TWICE: the ends of a later life, whose numbers begin anew, are forgotten before any report lists them.
    Given a minion that lists ends, which are stored up to number 30
    When it <event> and is polled again
    Then the poll acknowledges ends up to <number>

    Examples:
      | state                         | event         | number |
      | that is silent                | falls silent  | 0      |
      | all of whose ends are settled | lists no ends | 0      |
      | that lists an end, too seldom | answers       | 30     |
