Feature: Check of the configuration text

  Scenario: The example with comments is valid
    Given the example text
    Then the text is valid

  Scenario: All errors are reported at once
    # Guards against a check that reports only the first error.
    Given the example text
    And its text key "services.summaries.colour" is set to 1
    And its text key "services.summaries.versions.v1.retire" is set to "no"
    And its text key "client_accounts.portal.priority" is set to 10
    And its text key "client_accounts.portal.concurrent" is set to null
    Then the text has errors at exactly
      | path                                  |
      | services.summaries.colour             |
      | services.summaries.versions.v1.retire |
      | client_accounts.portal.priority       |
      | client_accounts.portal.concurrent     |

  Scenario Outline: A text with invalid or ambiguous contents is rejected: <case>
    # Guards against accepting a text that each entry would then have to
    # reject or to interpret.
    Given the example text
    And its text key "<key>" is set to <value>
    Then the text has an error at "<path>" that says "<message>"

    Examples:
      | case                 | key                                       | value                                        | path                                                | message             |
      | unknown dependency   | services.summaries.depends_on             | ["billing"]                                  | services.summaries.depends_on.0                     | no service billing  |
      | unknown version      | services.summaries.depends_on             | ["case-status/v9"]                           | services.summaries.depends_on.0                     | has no version v9   |
      | own dependency       | services.summaries.depends_on             | ["summaries"]                                | services.summaries.depends_on                       | cycle               |
      | cycle                | services.case-status.depends_on           | ["summaries"]                                | services.summaries.depends_on                       | summaries -> case-status -> summaries |
      | retired dependency   | services.case-status                      | {"kind": "plain", "versions": {"v1": {"discover": true, "retire": true}}} | services.case-status.versions | not be retired |
      | no version           | services.summaries.versions               | {}                                           | services.summaries.versions                         | not be retired      |
      | local time           | services.summaries.versions.v2.done_by    | "2099-12-04T06:00:00"                        | services.summaries.versions.v2.done_by              | RFC 3339              |
      | no time              | services.summaries.versions.v2.done_by    | "soon"                                       | services.summaries.versions.v2.done_by              | RFC 3339            |
      | open order           | services.summaries.versions.v2.done_by    | null                                         | services.summaries.versions.v2.done_by              | order is open       |
      | no weights           | services.summaries.versions.v2.weights    | ""                                           | services.summaries.versions.v2.weights              | needs weights       |
      | weights of plain     | services.case-status.versions.v1.weights  | "w"                                          | services.case-status.versions.v1.weights            | neither weights     |
      | both endpoint kinds  | services.summaries.versions.v1.discover   | true                                         | services.summaries.versions.v1.endpoints            | none may be named   |
      | no endpoints         | services.summaries.versions.v1.endpoints  | []                                           | services.summaries.versions.v1.endpoints            | names no endpoint   |
      | host name            | services.summaries.versions.v1.endpoints.0.address | "host:1"                            | services.summaries.versions.v1.endpoints.0.address  | pattern             |
      | port                 | services.summaries.versions.v1.endpoints.0.address | "127.0.0.1:70000"                   | services.summaries.versions.v1.endpoints.0.address  | port out of range   |
      | bad key hash         | client_accounts.portal.key_hashes         | ["00"]                                       | client_accounts.portal.key_hashes.0                 | pattern             |
      | repeated key hash    | client_accounts.second                    | {"key_hashes": ["0000000000000000000000000000000000000000000000000000000000000000"], "requests_per_s": 1, "tokens_per_s": 1, "concurrent": 1} | client_accounts.second.key_hashes.0 | client_accounts.portal.key_hashes.0 too |
      | hidden route         | services.case-status.routes.2             | {"method": "GET", "path": "/cases/{number}", "repeatable": false} | services.case-status.routes.2 | routes.1 too  |
      | partial variable     | services.case-status.routes.2             | {"method": "GET", "path": "/cases/a{number}", "repeatable": false} | services.case-status.routes.2.path | whole segment |
      | week date            | services.summaries.versions.v2.done_by    | "2099-W01-1T06:00:00Z"                       | services.summaries.versions.v2.done_by              | RFC 3339            |
      | impossible date      | services.summaries.versions.v2.done_by    | "2099-13-01T06:00:00Z"                       | services.summaries.versions.v2.done_by              | RFC 3339            |
      | repeated route       | services.case-status.routes.1             | {"method": "POST", "path": "/complaints", "repeatable": true} | services.case-status.routes.1  | routes.0 too        |

  Scenario: A retired version that another service depends on is rejected
    # Guards against a dependency on a version that drains.
    Given the example text
    And its text key "services.summaries.depends_on" is set to ["case-status/v1"]
    And its text key "services.case-status.versions.v2" is set to {"discover": true, "done_by": "2099-01-01T00:00:00Z"}
    And its text key "services.case-status.versions.v1.retire" is set to true
    Then the text has an error at "services.summaries.depends_on.0" that says "case-status/v1 is retired"

  Scenario: An endpoint id that is used twice in the text is rejected
    # Guards against adding up the evidence about two endpoints.
    Given the example text
    And its text key "services.case-status.versions.v1" is set to {"endpoints": [{"endpoint_id": "e1", "address": "127.0.0.1:7002", "failure_domain": "fd-1"}]}
    Then the text has an error at "services.case-status.versions.v1.endpoints.0.endpoint_id" that says "services.summaries.versions.v1.endpoints.0.endpoint_id too"

  Scenario: A key that is given twice is rejected
    # Guards against a version that is pasted twice, whose first definition
    # the JSON parser silently drops.
    Given the text bytes {services: {a: {kind: 'plain', versions: {v1: {discover: true}, "v1": {discover: true}}}}}
    Then the text has an error at "services.a.versions.v1" that says "given twice"

  Scenario Outline: A body that is not valid JSON is rejected: <body>
    Given the text bytes <body>
    Then the text has an error at "(text)" that says "not JSON"

    Examples:
      | body                                  |
      | {                                     |
      | {"services": NaN                      |
      | {"services": 1e999999999999999999, /* |
      | [[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]] |
      | {"services": 99999999999999999999999} |

  Scenario: Arbitrary bytes and JSON are checked without an exception
    # Guards against a check that raises instead of reporting the error.
    Then the text check returns an outcome for arbitrary bytes
    And the text check returns an outcome for arbitrary JSON
    And the text check returns an outcome for the example with any key replaced

  Scenario: The search for cycles agrees with the transitive closure
    Then cycles are reported for arbitrary dependencies if and only if a service reaches itself

  Scenario: The search for repeated keys agrees with the JSON parser
    Then repeated keys are found in arbitrary JSON as by its parser

  Scenario: The example text in the operators' documentation is valid
    # Guards against documentation whose example the check rejects.
    Then the example of docs/operators.md passes the check
