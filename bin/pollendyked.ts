#!/usr/bin/env node
/** The daemon: one process, in role entry or agent. */
import { cac } from 'cac'
import { FindingsError } from '../src/errors.js'
import { startAgent } from '../src/roles/agent/agent.js'
import { startEntry } from '../src/roles/entry/entry.js'
import { daemonSettingsSchema, type DaemonSettings } from '../src/types/settings.js'
import { runInBackground } from '../src/utils/background.js'
import { logFor, writeLogs } from '../src/utils/log.js'
import { readSettings } from '../src/utils/settings.js'

const log = logFor('stop')

/** Exit codes of the daemon. */
const exitCodes = { stopped: 0, failed: 1, badSettings: 2 } as const

const settingNames = [
  'role', 'instance', 'dataCentre', 'region', 'listen', 'control', 'log', 'instances', 'logLevel', 'trace',
  'bodyBytes', 'locateMilliseconds', 'requestMilliseconds', 'questionMilliseconds', 'progressMilliseconds', 'upstreamWatchers',
  'service', 'upstream', 'origin', 'store', 'linkBytes'
] as const

async function main (): Promise<void> {
  const settings = settingsOrExit()
  writeLogs(settings.logLevel)
  const node = settings.role === 'entry' ? await startEntry(settings) : await startAgent(settings)
  const stop = async (): Promise<void> => {
    await node.stop()
    process.exit(exitCodes.stopped)
  }
  process.once('SIGTERM', () => { runInBackground(stop(), log, 'stop') })
  process.once('SIGINT', () => { runInBackground(stop(), log, 'stop') })
  process.stdout.write(`ready ${settings.instance}\n`)
}

function settingsOrExit (): DaemonSettings {
  const program = cac('pollendyked')
  for (const name of settingNames) program.option(`--${name.replaceAll(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)} <value>`, '')
  program.help()
  const { options } = program.parse(process.argv)
  if (options['help'] === true) process.exit(exitCodes.stopped)
  const { '--': _rest, ...flags } = options
  try {
    return readSettings(daemonSettingsSchema, settingNames, { flags, environment: process.env })
  } catch (error) {
    if (!(error instanceof FindingsError)) throw error
    for (const finding of error.findings) process.stderr.write(`pollendyked: ${finding.place}: ${finding.problem}\n`)
    process.exit(exitCodes.badSettings)
  }
}

process.on('unhandledRejection', reason => {
  log.error('an unhandled rejection was caught', { reason: String(reason) })
})

main().catch(error => {
  process.stderr.write(`pollendyked: ${String(error)}\n`)
  process.exit(exitCodes.failed)
})
