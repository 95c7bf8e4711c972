/** Runs the tests, passes over what KNOWN-RED.txt lists, and ends on `N passed, N failed`. */
import { spawn } from 'node:child_process'
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('../../', import.meta.url))
const testFolder = `${root}dist/test/`
const knownRedFile = `${root}KNOWN-RED.txt`

interface TestResult { readonly file: string, readonly name: string, readonly passed: boolean }

/** Names of the known failures: `test: NAME` lines of the list. */
function readKnownRed (): ReadonlySet<string> {
  if (!existsSync(knownRedFile)) return new Set()
  const lines = readFileSync(knownRedFile, 'utf8').split('\n')
  return new Set(lines.flatMap(line => line.startsWith('test: ') ? [line.slice('test: '.length).trim()] : []))
}

/** Test files to run; words on the command line select by part of the name. */
function chooseFiles (): readonly string[] {
  const words = process.argv.slice(2)
  const files = readdirSync(testFolder).filter(file => file.endsWith('.test.js')).sort()
  const chosen = words.length === 0 ? files : files.filter(file => words.some(word => file.includes(word)))
  if (chosen.length === 0) throw new Error(`no test file matches ${words.join(' ')}`)
  return chosen.map(file => `${testFolder}${file}`)
}

/** Runs tap and returns its output and exit code. */
async function runTap (files: readonly string[]): Promise<{ readonly output: string, readonly code: number }> {
  const words = ['run', '--reporter=tap', '--disable-coverage', '--allow-empty-coverage', '--jobs=4', '--timeout=300', ...files]
  const child = spawn(`${root}node_modules/.bin/tap`, words, { cwd: root, stdio: ['ignore', 'pipe', 'inherit'] })
  let output = ''
  child.stdout.on('data', (part: Buffer) => { output += part.toString('utf8') })
  const code = await new Promise<number>(resolve => { child.on('close', exit => { resolve(exit ?? 1) }) })
  return { output, code }
}

/** Reads the tests of each file: the lines that TAP indents once. */
function readResults (output: string): readonly TestResult[] {
  let file = ''
  const results: TestResult[] = []
  for (const line of output.split('\n')) {
    const heading = /^# Subtest: (.*)$/.exec(line)
    if (heading !== null) file = heading[1] ?? ''
    const result = /^ {4}(not ok|ok) \d+ - (.*?)(?: # time=.*)?(?: \{)?$/.exec(line)
    if (result !== null) results.push({ file, name: (result[2] ?? '').trim(), passed: result[1] === 'ok' })
  }
  return results
}

const knownRed = readKnownRed()
const { output, code } = await runTap(chooseFiles())
const results = readResults(output)
const isKnown = (result: TestResult): boolean => [...knownRed].some(known => result.name === known)
const failed = results.filter(result => !result.passed)
const unknownFailures = failed.filter(result => !isKnown(result))
const passed = results.length - failed.length
const fileFailed = code !== 0 && failed.length === 0

for (const result of results) process.stdout.write(`${result.passed ? 'ok    ' : 'FAILED'} ${result.file}: ${result.name}\n`)
if (failed.length > 0 || fileFailed) process.stdout.write(`${output}\n`)
for (const result of failed.filter(isKnown)) process.stdout.write(`known red, passed over: ${result.name}\n`)
const failures = unknownFailures.length + (fileFailed ? 1 : 0)
process.stdout.write(`${passed} passed, ${failures} failed\n`)
process.exitCode = failures === 0 && passed > 0 ? 0 : 1
