//! One line from the arguments, or an interactive session.

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

/// Carries out the arguments.
pub async fn run(arguments: &Arguments) -> Exit {
    let client = Client::new(
        arguments.servers.clone(),
        arguments.token.clone(),
        Options::default(),
    );
    match &arguments.line {
        Some(line) => {
            let command = arguments.command.unwrap_or_else(draw_command);
            run_line(&client, line, command, arguments.output).await
        }
        None => interact(&client, arguments.output).await,
    }
}

/// Sends one line and prints the answer.
pub async fn run_line(client: &Client, text: &str, command: Command, output: Output) -> Exit {
    let line = Line::new(text, &mut rand::rng());
    // A line that is wrong is not sent at all.
    let result = match fault(&line.text) {
        Some(reply) => Ok(reply),
        None => client.send(&line.text, command).await,
    };
    print(&result, &line, output);
    Exit::of(&result)
}

/// Returns the reply to a line that does not follow the grammar.
fn fault(text: &str) -> Option<Reply> {
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

/// Prints an answer, and the key if one was made and accepted.
fn print(result: &Result<Reply>, line: &Line, output: Output) {
    match result {
        Ok(reply) => println!("{}", render(reply, output)),
        Err(error) => eprintln!("quetzalpick-ctl: {error}"),
    }
    let Some(secret) = &line.secret else { return };
    // A key whose command may still take effect must be shown too, or it is lost.
    let may_count = matches!(
        result,
        Ok(Reply::Accepted { .. } | Reply::Unknown { .. }) | Err(Error::Unknown { .. })
    );
    if may_count {
        match output {
            Output::Table => println!("key (shown once): {}", secret.reveal()),
            Output::Json => println!("{}", serde_json::json!({ "key": secret.reveal() })),
        }
    }
}

/// Reads lines until the end of the input.
async fn interact(client: &Client, output: Output) -> Exit {
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
                // A history that cannot be kept is no reason to refuse the line.
                let _ = editor.add_history_entry(&text);
                show_column(&text);
                exit = run_line(client, &text, draw_command(), output).await;
            }
            Err(ReadlineError::Eof | ReadlineError::Interrupted) => return exit,
            Err(error) => {
                eprintln!("quetzalpick-ctl: {error}");
                return Exit::Usage;
            }
        }
    }
}

/// Marks the column of a syntax error below the line that was typed.
fn show_column(text: &str) {
    let line = Line::new(text, &mut rand::rng());
    if line.secret.is_none()
        && let Err(LanguageError::Syntax { column, .. }) = Statement::parse(text)
    {
        println!("{}^", " ".repeat(PROMPT.len() + column - 1));
    }
}

/// Draws the id of a command.
fn draw_command() -> Command {
    let mut random = rand::rng();
    Command(random.random(), random.random())
}
