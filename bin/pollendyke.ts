#!/usr/bin/env node
/** The operators' command line. */
import { readFileSync } from 'node:fs'
import { userInfo } from 'node:os'
import { cac } from 'cac'
import { appendChange } from '../src/commands/append-change.js'
import { generateConfiguration } from '../src/core/configuration/generate.js'
import { readState } from '../src/queries/read-state.js'
import { HttpLogClient } from '../src/transports/log-client.js'
import { answersSchema } from '../src/types/answers.js'
import { changeSchema, type Change } from '../src/types/configuration.js'

const changeMilliseconds = 10_000
const program = cac('pollendyke')

program.command('generate <answers>', 'Make the whole configuration from an answers file')
  .action((file: string) => {
    const answers = answersSchema.parse(JSON.parse(readFileSync(file, 'utf8')))
    process.stdout.write(`${JSON.stringify(generateConfiguration(answers), null, 2)}\n`)
  })

program.command('apply <file>', 'Append a change, or a whole configuration, to the log')
  .option('--log <url>', 'Base URL of the log')
  .action(async (file: string, options: { log: string }) => {
    const value: unknown = JSON.parse(readFileSync(file, 'utf8'))
    const parsed = changeSchema.safeParse(value)
    await apply(options.log, parsed.success ? parsed.data : changeSchema.parse({ kind: 'replace', configuration: value }))
  })

program.command('zone <direction> <dataCentre>', 'Take a data centre out, or bring it back in')
  .option('--log <url>', 'Base URL of the log')
  .action(async (direction: 'in' | 'out', dataCentre: string, options: { log: string }) => {
    await apply(options.log, { kind: 'data-centre', dataCentre, state: direction })
  })

async function apply (log: string, change: Change): Promise<void> {
  const client = new HttpLogClient(log)
  const result = await appendChange(client, await readState(client), change, userInfo().username, Date.now() + changeMilliseconds)
  process.stdout.write(`${JSON.stringify(result)}\n`)
  process.exitCode = result.tag === 'accepted' ? 0 : 1
}

program.help()
program.parse()
