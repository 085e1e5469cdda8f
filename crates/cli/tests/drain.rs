//! The error of a refused drain names the node.

use expect_test::expect;
use masticarch_cli::command::drain;
use masticarch_client::error;
use masticarch_model::code;

// Guards against a refusal that names neither the node nor what to do next.
#[test]
fn unknown_node_is_named() {
    let failure = error::Error::Refused(code::Code::NoSuchObject, "no_such_object".into());

    let explained = drain::explain(failure, "norte-a-9");

    expect!["2008 no_such_object: no node is named norte-a-9; see 'masticarch status'"]
        .assert_eq(&explained.to_string());
    assert_eq!(explained.exit_code(), 3);
}
