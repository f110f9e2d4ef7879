//! Runs one line from the arguments, or an interactive session.

use rand::RngExt;
use rustyline::DefaultEditor;
use rustyline::error::ReadlineError;

use quetzalpick_core::id::Command;
use quetzalpick_language::{Error as LanguageError, HELP, Reply, Statement};

use crate::arguments::{Arguments, Output};
use crate::client::{Client, Options};
use crate::errors::{Error, Result};
use crate::exit::Exit;
use crate::render::render;
use crate::secret::Line;

/// Prompt of the interactive session.
const PROMPT: &str = "quetzalpick> ";

/// Sends the line of the arguments, or runs an interactive session without one.
pub async fn run(arguments: &Arguments) -> Exit {
    let client = Client::new(
        arguments.servers.clone(),
        arguments.token.clone(),
        Options::default(),
    );
    match &arguments.line {
        Some(line) => {
            let command_id = arguments.command_id.unwrap_or_else(generate_command_id);
            run_line(&client, line, command_id, arguments.output).await
        }
        None => run_interactive(&client, arguments.output).await,
    }
}

/// Sends one line and prints the reply.
pub async fn run_line(client: &Client, text: &str, command_id: Command, output: Output) -> Exit {
    let line = Line::new(text, &mut rand::rng());
    // An invalid line is not sent.
    let result = match syntax_error(&line.text) {
        Some(reply) => Ok(reply),
        None => client.send(&line.text, command_id).await,
    };
    print_result(&result, &line, output);
    Exit::from_result(&result)
}

/// Returns the reply to a line that does not follow the grammar, `None` if it does.
fn syntax_error(text: &str) -> Option<Reply> {
    let error = Statement::parse(text).err()?;
    let column = match &error {
        LanguageError::Syntax { column, .. } => *column,
        _ => 0,
    };
    Some(Reply::Invalid {
        column,
        message: error.to_string(),
    })
}

/// Prints a reply or error, and a generated key if its command may have taken effect.
fn print_result(result: &Result<Reply>, line: &Line, output: Output) {
    match result {
        Ok(reply) => println!("{}", render(reply, output)),
        Err(error) => eprintln!("quetzalpick-ctl: {error}"),
    }
    let Some(secret) = &line.secret else { return };
    // If the outcome is unknown, the command may still take effect, and a key that was not shown is lost.
    let may_take_effect = matches!(
        result,
        Ok(Reply::Accepted { .. } | Reply::Unknown { .. }) | Err(Error::Unknown { .. })
    );
    if may_take_effect {
        match output {
            Output::Table => println!("key (shown once): {}", secret.reveal()),
            Output::Json => println!("{}", serde_json::json!({ "key": secret.reveal() })),
        }
    }
}

/// Reads and runs lines until `quit`, `exit` or the end of the input, and returns the outcome of the last one.
async fn run_interactive(client: &Client, output: Output) -> Exit {
    let mut editor = match DefaultEditor::new() {
        Ok(editor) => editor,
        Err(error) => {
            eprintln!("quetzalpick-ctl: {error}");
            return Exit::Usage;
        }
    };
    let mut exit = Exit::Done;
    loop {
        match editor.readline(PROMPT) {
            Ok(text) if text.trim().is_empty() => {}
            Ok(text) if matches!(text.trim(), "quit" | "exit") => return exit,
            Ok(text) if text.trim() == "help" => print!("{HELP}"),
            Ok(text) => {
                // A line is run even if it cannot be added to the history.
                let _ = editor.add_history_entry(&text);
                mark_error_column(&text);
                exit = run_line(client, &text, generate_command_id(), output).await;
            }
            Err(ReadlineError::Eof | ReadlineError::Interrupted) => return exit,
            Err(error) => {
                eprintln!("quetzalpick-ctl: {error}");
                return Exit::Usage;
            }
        }
    }
}

/// Prints a caret below the column of a syntax error in the line that was typed.
fn mark_error_column(text: &str) {
    let line = Line::new(text, &mut rand::rng());
    if line.secret.is_none()
        && let Err(LanguageError::Syntax { column, .. }) = Statement::parse(text)
    {
        println!("{}^", " ".repeat(PROMPT.len() + column - 1));
    }
}

/// Generates a random command id.
fn generate_command_id() -> Command {
    let mut rng = rand::rng();
    Command(rng.random(), rng.random())
}
