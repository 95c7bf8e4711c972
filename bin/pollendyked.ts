#!/usr/bin/env node
/** The daemon: a process in the role of an entry or an agent. */
import { cac } from 'cac'
import { FindingsError } from '../src/errors.js'
import { startAgent } from '../src/roles/agent/agent.js'
import { startEntry } from '../src/roles/entry/entry.js'
import type { RunningNode } from '../src/nodes/running-node.js'
import type { DaemonSettings } from '../src/types/settings.js'
import { runInBackground } from '../src/utils/background.js'
import { logFor, writeLogs } from '../src/utils/log.js'
import { daemonExamples, daemonFlags, readDaemonSettings } from '../src/utils/daemon-flags.js'
import { flagOf, placeOf, environmentVariableOf } from '../src/utils/settings.js'

const log = logFor('stop')

/** Exit codes of the daemon. */
const exitCodes = { stopped: 0, failed: 1, badSettings: 2 } as const

async function main (): Promise<void> {
  const settings = readSettingsOrExit()
  writeLogs(settings.logLevel)
  const node = await startNode(settings)
  const stop = async (): Promise<void> => {
    await node.stop()
    process.exit(exitCodes.stopped)
  }
  process.once('SIGTERM', () => { runInBackground(stop(), log, 'stop') })
  process.once('SIGINT', () => { runInBackground(stop(), log, 'stop') })
  process.stdout.write(`ready ${settings.instance}\n`)
}

/** Starts the node; exits with code 1 and a message when it cannot serve. */
async function startNode (settings: DaemonSettings): Promise<RunningNode> {
  try {
    return settings.role === 'entry' ? await startEntry(settings) : await startAgent(settings)
  } catch (error) {
    process.stderr.write(`pollendyked: ${describeStartError(error, settings)}\n`)
    process.exit(exitCodes.failed)
  }
}

/** Reads the settings; exits with code 2 and every finding when they are invalid. */
function readSettingsOrExit (): DaemonSettings {
  try {
    const { flags, positionals } = readFlags()
    return readDaemonSettings({ flags, environment: process.env }, positionals)
  } catch (error) {
    if (!(error instanceof FindingsError)) throw error
    for (const { place, problem } of error.findings) process.stderr.write(`pollendyked: ${place}: ${problem}\n`)
    process.exit(exitCodes.badSettings)
  }
}

/** Reads flags and positional arguments; `--help` exits the process. */
function readFlags (): { readonly flags: Readonly<Record<string, unknown>>, readonly positionals: readonly string[] } {
  const program = cac('pollendyked')
  program.usage('--role entry|agent [options]')
  for (const { name, value, text } of daemonFlags) program.option(`${flagOf(name)} <${value}>`, `${text} [${environmentVariableOf(name)}]`)
  for (const example of daemonExamples) program.example(example)
  program.help()
  const { args, options } = program.parse(process.argv)
  if (options['help'] === true) process.exit(exitCodes.stopped)
  const { '--': rest, ...flags } = options
  return { flags, positionals: [...args, ...(rest ?? []) as readonly string[]] }
}

/** Describes why the process could not start; an error of an address names its setting. */
function describeStartError (error: unknown, settings: DaemonSettings): string {
  const text = error instanceof Error ? error.message : String(error)
  const name = text.includes(settings.control) ? 'control' : 'listen'
  const address = settings[name]
  if (text.includes('EADDRINUSE')) return `${placeOf(name)}: ${address} is already in use`
  if (text.includes('EADDRNOTAVAIL')) return `${placeOf(name)}: ${address} is not an address of this machine`
  if (text.includes('EACCES')) return `${placeOf(name)}: ${address} may not be bound by this user`
  return text
}

process.on('unhandledRejection', reason => {
  log.error('unhandled promise rejection', { reason: String(reason) })
})

main().catch(error => {
  process.stderr.write(`pollendyked: ${String(error)}\n`)
  process.exit(exitCodes.failed)
})
