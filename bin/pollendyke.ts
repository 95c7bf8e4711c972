#!/usr/bin/env node
/** Command line tool for operators. */
import { PlatformFleetFormat } from '../platform/configuration-file.js'
import { buildProgram } from '../src/cli/program.js'
import { exitCodes, UnreachableError } from '../src/cli/settings.js'
import { FindingsError } from '../src/errors.js'
import { writeLogs } from '../src/utils/log.js'

async function main (): Promise<number> {
  const program = buildProgram(new PlatformFleetFormat())
  const { options, args } = program.parse(process.argv, { run: false })
  if (options['help'] === true) return exitCodes.ok
  if (program.matchedCommand === undefined) {
    process.stderr.write(args.length === 0 ? 'pollendyke: name a command; see pollendyke --help\n' : `pollendyke: "${args[0]}" is no command; see pollendyke --help\n`)
    return exitCodes.badInput
  }
  return await program.runMatchedCommand() as number
}

/** Prints an error to standard error and returns the exit code. */
function reportError (error: unknown): number {
  if (error instanceof FindingsError) {
    for (const { place, problem } of error.findings) process.stderr.write(`${place}: ${problem}\n`)
    return exitCodes.badInput
  }
  const { message, name } = error as Error
  process.stderr.write(`pollendyke: ${message}\n`)
  if (name === 'CACError') return exitCodes.badInput
  if (error instanceof UnreachableError) return exitCodes.unknown
  return exitCodes.unknown
}

writeLogs('silent')
process.exitCode = await main().catch(reportError)
