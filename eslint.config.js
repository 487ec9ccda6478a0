import neostandard from 'neostandard'

export default [
  { ignores: ['dist/', 'target/', 'node_modules/'] },
  ...neostandard({ ts: true }),
  {
    rules: {
      'no-labels': 'off',
      'no-void': 'off',
      'no-use-before-define': 'off'
    }
  },
  // A file has one job and is read in one go.
  { files: ['src/**/*.ts', 'platform/**/*.ts'], rules: { 'max-lines': ['error', { max: 350 }] } }
]
