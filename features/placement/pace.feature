Feature: Pace of endpoints on shared machines

  Scenario Outline: An invalid pace costs only the pace
    # Guards against load reports that are dropped whole, so that calls are
    # placed by the own calls alone.
    When an endpoint states the load "<header>"
    Then its counts are 3, 0 and 8 and its pace is <pace>

    Examples:
      | header       | pace |
      | 3,0,8        | none |
      | 3,0,8,240    | 2.4  |
      | 3, 0, 8, 100 | 1.0  |
      | 3,0,8,0      | none |
      | 3,0,8,-5     | none |
      | 3,0,8,fast   | none |
      | 3,0,8,10001  | none |

  Scenario: A pace loses its weight with its age
    # Guards against placements by the pace of a span that is over.
    When an endpoint states a pace of 2.5
    Then its pace is 2.5 at once, 1.75 after 0.3 s and 1.0 after 0.6 s

  Scenario Outline: A slow endpoint is told from a lost one
    # Guards against leaving sound endpoints on shared machines, whose events
    # are 0.5 s apart while they read a prompt in a slow span. Each stream
    # that leaves has its prompt read again.
    Given streams with an allowed pause of 0.7 s at <machines> machines
    Then a stream at an endpoint that <answers> stays for <stays> s and leaves after <leaves> s

    Examples:
      | machines | answers              | stays | leaves |
      | own      | accepts connections  | 0.41  | 0.43   |
      | shared   | accepts connections  | 1.04  | 1.06   |
      | shared   | accepts none         | 0.41  | 0.43   |

  Scenario Outline: Counts of a report count where machines are not shared
    # Guards against calls of many entries that are placed by the same report.
    Given an endpoint that reports 5 running requests <pace>
    Then a call there costs as much as beside <busy> others

    Examples:
      | pace              | busy |
      | and no pace       | 5    |
      | and a pace of 1.0 | 0    |
